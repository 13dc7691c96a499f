package bramblespool.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Subcommands, their former names, usage errors and the deploy file's use of them. */
class CommandLineTest {
    @ParameterizedTest
    @CsvSource({"weft,sidecar", "hem,gateway", "helm,controller", "rehearse,self-test"})
    void formerSubcommandIsReplaced(String formerName, String presentName) {
        String[] args = {formerName, "--log-level", "weft"};
        Bramblespool.replaceFormerSubcommand(args);
        assertArrayEquals(new String[] {presentName, "--log-level", "weft"}, args);
    }

    @Test
    void otherArgumentsAreNotReplaced() {
        String[] args = {"status", "helm"};
        Bramblespool.replaceFormerSubcommand(args);
        assertArrayEquals(new String[] {"status", "helm"}, args);
        Bramblespool.replaceFormerSubcommand(new String[0]);
    }

    @ParameterizedTest
    @CsvSource({
        "sidecar,true",
        "controller --metrics-port 9464,true",
        "gateway --metrics-port x,false",
        "status --metrics-port 1,false",
        "sidecar --log-level debug,false"
    })
    void roleWithAtMostMetricsPortSkipsOptionParser(String line, boolean isPlain) {
        assertEquals(isPlain, Bramblespool.isPlainStart(line.split(" ")));
    }

    @Test
    void helpShowsPresentNamesOnly() {
        CommandLine commandLine = new CommandLine(new Commands());
        assertEquals(
                Set.of("sidecar", "gateway", "controller", "check", "self-test", "status"),
                commandLine.getSubcommands().keySet());
        String usage = commandLine.getUsageMessage();
        assertTrue(usage.contains("controller"), usage);
        assertFalse(usage.contains("helm"), usage);
    }

    @ParameterizedTest
    @ValueSource(strings = {"unknown", "sidecar --unknown", "controller --log-level loud", "status", "check"})
    void wrongUsageEndsWithTwo(String line) {
        assertEquals(2, Commands.execute(line.split(" ")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"--help", "sidecar --help", "gateway --help", "controller --help", "self-test --help"})
    void helpEndsWithZero(String line) {
        assertEquals(0, Commands.execute(line.split(" ")));
    }

    @Test
    void deployFileStartsEachRoleOnItsMachineClass() throws Exception {
        JsonNode roles = new TomlMapper()
                .readTree(Files.readString(Path.of("deploy/system.toml")))
                .path("roles");
        TreeMap<String, String> machineClasses = new TreeMap<>();
        roles.fields().forEachRemaining(role -> {
            String run = role.getValue().path("run").asText();
            String[] arguments =
                    run.substring(run.indexOf(".jar ") + ".jar ".length()).split(" ");
            assertTrue(Bramblespool.isPlainStart(arguments), run);
            assertEquals(role.getKey(), arguments[0]);
            assertEquals(role.getValue().path("metrics").asText(), arguments[2] + "/metrics");
            machineClasses.put(role.getKey(), role.getValue().path("on").asText());
        });
        assertEquals(new TreeMap<>(ProcessLauncher.MACHINE_CLASSES), machineClasses);
        assertEquals(Set.of("controller", "gateway", "sidecar"), new TreeSet<>(machineClasses.keySet()));
    }

    @ParameterizedTest
    @CsvSource({"weft,sidecar", "hem,gateway", "helm,controller"})
    void statusNamesTheRole(String roleOnTheWire, String printedRole) {
        JsonNode status = JsonNodeFactory.instance
                .objectNode()
                .put("role", roleOnTheWire)
                .put("node", "n1")
                .put("zone", "z1");
        String text = StatusCommand.format("10.0.0.1:7000", status, false);
        assertTrue(text.startsWith("10.0.0.1:7000: " + printedRole + " n1 in z1\n"), text);
    }
}
