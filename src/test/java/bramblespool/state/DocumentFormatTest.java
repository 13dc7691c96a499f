package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.protocol.OperatorRequest;
import bramblespool.testing.SimulatedMesh;
import com.google.gson.JsonObject;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings, configurations, the catalogue of events, the layers. */
class DocumentFormatTest {
    private static final String VALID_DOCUMENT = SimulatedMesh.document(5, 0, "p");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"pathPrefix\"|\"pathprefix\"|pathPrefix: is missing",
                "/p/|p/|must begin and end with a slash",
                "/p/|/p|must begin and end with a slash",
                "null,2,\"desk\"|null,2,\"nobody\"|unknown service: nobody",
                "null,2,\"desk\"|[{\"target\":\"desk\",\"share\":-1}],2,null|a weight is below 0",
                "\"idempotent\"|\"sometimes\"|must be one of idempotent, mutating, keyed, not 'sometimes'",
                "\"1500ms\"|\"soon\"|must be a time",
                "\"epoch\":5|\"epoch\":5.5|whole number",
                "\"rows\":[[\"r\"|\"rows\":[[\"r\",\"extra\"|one value for each column"
            })
    void invalidConfigurationIsRejectedWithReason(String from, String to, String fault) {
        assertTrue(VALID_DOCUMENT.contains(from));
        InvalidConfigurationException invalid = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfiguration.compile(VALID_DOCUMENT.replace(from, to)));
        assertTrue(invalid.getMessage().contains(fault), invalid.getMessage());
    }

    @Test
    void allErrorsAreReportedTogetherAndTruncatedDocumentIsRejected() {
        InvalidConfigurationException e = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfiguration.compile(
                        VALID_DOCUMENT.replace("/p/", "p").replace("null,2,\"desk\"", "null,2,\"nobody\"")));
        assertTrue(e.getMessage().contains("slash") && e.getMessage().contains("nobody"), e.getMessage());
        for (int cut = 1; cut < VALID_DOCUMENT.strip().length(); cut += 17) {
            String part = VALID_DOCUMENT.substring(0, cut);
            assertThrows(InvalidConfigurationException.class, () -> RoutingConfiguration.compile(part));
        }
    }

    /** What a lenient reader would mend by itself cannot be read whole, and what it would make of it was never sent. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "null,2|,2",
                "\"epoch\":5|epoch:5",
                "\"epoch\":5|\"epoch\"=5",
                "\"epoch\":5|\"epoch\":0005",
                "\"epoch\":5|/* 5 */ \"epoch\":5",
                "\"epoch\":5,|\"epoch\":5;",
                "\"/health\"|'/health'",
                "\"desk\"]]|\"desk\"],]",
                "13.0|NaN"
            })
    void lenientJsonIsRejected(String from, String to) {
        assertTrue(VALID_DOCUMENT.contains(from));
        assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfiguration.compile(VALID_DOCUMENT.replace(from, to)));
        assertThrows(
                InvalidConfigurationException.class,
                () -> OperatorRequest.parseChange(
                        false, VALID_DOCUMENT.replace(from, to).getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void trailingContentAndInvalidUtf8AreRejected() throws InvalidConfigurationException {
        assertThrows(InvalidConfigurationException.class, () -> RoutingConfiguration.compile(VALID_DOCUMENT + "{}"));
        byte[] bytes = VALID_DOCUMENT.getBytes(StandardCharsets.UTF_8);
        assertEquals(
                5,
                OperatorRequest.parseChange(false, bytes)
                        .document()
                        .get("epoch")
                        .getAsLong());
        bytes[VALID_DOCUMENT.indexOf("x.example")] = (byte) 0xff;
        assertThrows(InvalidConfigurationException.class, () -> OperatorRequest.parseChange(false, bytes));
    }

    @Test
    void duplicateRoutePrefixIsRejected() {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        assertTrue(VALID_DOCUMENT.contains(row));
        InvalidConfigurationException e = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfiguration.compile(
                        VALID_DOCUMENT.replace(row, row + "," + row.replace("\"r\"", "\"q\""))));
        assertTrue(e.getMessage().contains("same place"), e.getMessage());
    }

    @Test
    void longestPrefixOfExactPathWins() throws InvalidConfigurationException {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        RoutingConfiguration configuration = RoutingConfiguration.compile(VALID_DOCUMENT.replace(
                row, row + "," + row.replace("\"r\"", "\"q\"").replace("/p/", "/p/%2f/")));
        assertEquals("q", configuration.route("X.example:80", "/p/%2f/1").name());
        assertEquals("r", configuration.route("x.example", "/p/%2F/1").name());
        assertNull(configuration.route("x.example", "/p"));
        assertNull(configuration.route("y.example", "/p/1"));
    }

    @Test
    void amendmentKeepsUnmentionedFields() throws InvalidConfigurationException {
        RoutingConfiguration configuration =
                RoutingConfiguration.compile(VALID_DOCUMENT.replace("\"limits\"", "\"ours\":{\"x\":1},\"limits\""));
        JsonObject change = RoutingConfiguration.parseDocument("""
                {"epoch":7,"baseVersion":5,"upsert":{"routeTable":{"columns":["name","authority","pathPrefix","routeClass",
                "deadline","goal","rank","target"],"rows":[["n","x.example","/n/","mutating","1s","1s",0,"desk"]]}},
                "remove":{"routeTable":["r"]}}""");
        RoutingConfiguration amended = RoutingConfiguration.compile(
                configuration.applyAmendment(change).toString());
        assertEquals(7, amended.epoch);
        assertNull(amended.route("x.example", "/p/1"));
        assertEquals("n", amended.route("x.example", "/n/1").name());
        assertTrue(
                CompressedDocument.decompress(amended.compressedDocument).contains("\"ours\":{\"x\":1}"),
                "unknown fields are kept");
        assertNotEquals(configuration.difference(null), amended.difference(configuration));
        assertTrue(amended.difference(configuration).startsWith("+1 ~0 -1 "));
    }

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
        Settings.InvalidSettingsException unfit = assertThrows(
                Settings.InvalidSettingsException.class,
                () -> Settings.parse(good.replace(from, to == null ? "" : to), "weft.toml"));
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
                "discovery = \"platform\"|discovery = \"rumour\"|discovery: must be one of static, platform, not 'rumour'",
                "entry = \"virtual_ip\"|entry = \"door\"|entry: must be one of static, virtual_ip, not 'door'",
                "portRange = [7000, 7010]|portRange = [7000, 7000]|portRange: must leave two ports"
            })
    void invalidEdgeSettingsNameFileAndField(String from, String to, String fault) throws Exception {
        String good = sidecarToml()
                .replace("sidecar", "edge")
                .replace(
                        "appAddr = \"10.0.1.1:9000\"\ntarget = \"desk\"",
                        "deployment = \"api\"\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n[platform]\naddress = \"10.9.9.9:80\"")
                .replace("control = \"10.0.1.1:8000\"", "front = \"10.0.1.1:8004\"");
        assertTrue(good.contains(from), good);
        Settings fit = Settings.parse(good, "hem.toml");
        assertEquals("10.0.1.1:8004", fit.outboundAddress());
        assertEquals("10.0.1.1:7001", fit.inboundAddress(), "hems call each other on the second port");
        Settings.InvalidSettingsException unfit = assertThrows(
                Settings.InvalidSettingsException.class,
                () -> Settings.parse(good.replace(from, to == null ? "" : to), "hem.toml"));
        assertTrue(
                unfit.getMessage().startsWith("hem.toml: ")
                        && unfit.getMessage().contains(fault),
                unfit.getMessage());
    }

    @Test
    void compressedDocumentRoundTripsAndCorruptOneIsRejected() throws Exception {
        String document = SimulatedMesh.document(5, 0, "p\u017eilina").repeat(200);
        String packed = CompressedDocument.compress(document);
        assertTrue(packed.length() < document.length() / 4);
        assertEquals(document, CompressedDocument.decompress(packed));
        assertThrows(
                InvalidConfigurationException.class,
                () -> CompressedDocument.decompress(packed.substring(0, packed.length() / 2)));
        assertThrows(InvalidConfigurationException.class, () -> CompressedDocument.decompress("no such thing!"));
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

    @Test
    void eventCatalogueMatchesCode() throws Exception {
        List<String> code = new ArrayList<>();
        for (EventLog.Event event : EventLog.Event.values()) {
            code.add("B" + event.number + " " + event.name() + " " + event.level);
        }
        assertEquals(
                code.size(),
                new TreeSet<>(code.stream().map(c -> c.split(" ")[0]).toList()).size(),
                "numbers differ");
        List<String> docs = new ArrayList<>();
        Matcher matcher = Pattern.compile("^\\| (B\\d+) \\| (\\w+) \\| (\\w+) \\|", Pattern.MULTILINE)
                .matcher(Files.readString(Path.of("docs/log-events.md")));
        while (matcher.find()) {
            docs.add(matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3));
        }
        assertEquals(new TreeSet<>(code), new TreeSet<>(docs));
    }

    @Test
    void dependenciesGoDownwardsOnly() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy("bramblespool.cli..")
                .layer("process")
                .definedBy("bramblespool.process..")
                .layer("proxy")
                .definedBy("bramblespool.proxy..")
                .layer("coordination")
                .definedBy("bramblespool.coordination..")
                .layer("protocol")
                .definedBy("bramblespool.protocol..")
                .layer("transport")
                .definedBy("bramblespool.transport..")
                .layer("raft")
                .definedBy("bramblespool.raft..")
                .layer("state")
                .definedBy("bramblespool.state..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("process")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("process")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("process", "proxy")
                .whereLayer("raft")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination", "raft", "protocol")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination", "raft", "protocol", "transport")
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
        com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("bramblespool.coordination..", "bramblespool.raft..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.undertow..", "org.xnio..", "java.sql..")
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
    }
}
