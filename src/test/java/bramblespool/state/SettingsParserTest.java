package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.SimulatedMesh;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a settings file may hold, and which faults are reported. */
class SettingsParserTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "quiet = \"3s\"|quiet = 3|bounds.quiet: must be a text",
                "quiet = \"3s\"||bounds.quiet: is missing",
                "drain = \"2500ms\"|drain = \"2500\"|bounds.drain: must be a time",
                "appAddr = \"10.0.1.1:9000\"|appAddr = \"nowhere\"|appAddr: must be an address",
                "portRange = [7000, 7010]|portRange = [7010, 7000]|portRange: must be two ports",
                "[limits]||limits: section is missing",
                "node = \"weft-1\"|node = |is no TOML"
            })
    void invalidSettingsNameFileAndField(String from, String to, String fault) {
        String good = sidecarToml();
        assertTrue(good.contains(from), good);
        InvalidSettingsException unfit = assertThrows(
                InvalidSettingsException.class,
                () -> SettingsParser.parse(good.replace(from, to == null ? "" : to), "weft.toml"));
        assertTrue(
                unfit.getMessage().startsWith("weft.toml: ")
                        && unfit.getMessage().contains(fault),
                unfit.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "front = \"10.0.1.1:8004\"||listeners.front: is missing",
                "ready = \"10.0.1.1:8003\"||listeners.ready: is missing",
                "address = \"10.9.9.9:80\"||platform.address: is missing",
                "[platform]|[other]|platform: section is missing",
                "discovery = \"platform\"|discovery = \"rumour\"|"
                        + "discovery: must be one of static, platform, not 'rumour'",
                "entry = \"virtual_ip\"|entry = \"door\"|entry: must be one of static, virtual_ip, not 'door'",
                "portRange = [7000, 7010]|portRange = [7000, 7000]|portRange: must leave two ports"
            })
    void invalidEdgeSettingsNameFileAndField(String from, String to, String fault) throws Exception {
        String good = sidecarToml()
                .replace("sidecar", "edge")
                .replace(
                        "appAddr = \"10.0.1.1:9000\"\ntarget = \"desk\"",
                        "deployment = \"api\"\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
                                + "[platform]\naddress = \"10.9.9.9:80\"")
                .replace("control = \"10.0.1.1:8000\"", "front = \"10.0.1.1:8004\"");
        assertTrue(good.contains(from), good);
        Settings fit = SettingsParser.parse(good, "hem.toml");
        assertEquals("10.0.1.1:8004", fit.outboundAddress());
        assertEquals("10.0.1.1:7001", fit.inboundAddress(), "hems call each other on the second port");
        InvalidSettingsException unfit = assertThrows(
                InvalidSettingsException.class,
                () -> SettingsParser.parse(good.replace(from, to == null ? "" : to), "hem.toml"));
        assertTrue(
                unfit.getMessage().startsWith("hem.toml: ")
                        && unfit.getMessage().contains(fault),
                unfit.getMessage());
    }

    private static String sidecarToml() {
        return """
                node = "weft-1"
                machineClass = "sidecar"
                unknown = "ignored"
                ip = "10.0.1.1"
                zone = "a"
                portRange = [7000, 7010]
                seedPeers = ["10.0.0.1:8000"]
                appAddr = "10.0.1.1:9000"
                target = "desk"
                [listeners]
                control = "10.0.1.1:8000"
                inbound = "10.0.1.1:8001"
                outbound = "10.0.1.1:8002"
                ready = "10.0.1.1:8003"
                [limits]
                memoryMb = 0
                """ + SimulatedMesh.BOUNDS;
    }
}
