package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.sim.SimMesh;
import bramblespool.state.Config;
import bramblespool.state.Log;
import bramblespool.state.Packed;
import bramblespool.state.Settings;
import bramblespool.state.SqliteVault;
import bramblespool.state.Vault;
import com.google.gson.JsonObject;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings, configurations, the vault on a real disk, the catalogue of events, the layers. */
class FormsTest {
    private static final String GOOD = SimMesh.document(5, 0, "p");

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"pathPrefix\"|\"pathprefix\"|pathPrefix: is missing",
        "/p/|p/|must begin and end with a slash",
        "/p/|/p|must begin and end with a slash",
        "null,2,\"desk\"|null,2,\"nobody\"|unknown service: nobody",
        "null,2,\"desk\"|[{\"target\":\"desk\",\"share\":-1}],2,null|a weight is below 0",
        "\"idempotent\"|\"sometimes\"|must be one of idempotent, mutating, keyed, not 'sometimes'",
        "\"1500ms\"|\"soon\"|must be a time",
        "\"epoch\":5|\"epoch\":5.5|whole number",
        "\"rows\":[[\"r\"|\"rows\":[[\"r\",\"extra\"|one value for each column"})
    void anInvalidConfigurationIsToldWhy(String from, String to, String fault) {
        assertTrue(GOOD.contains(from));
        Config.Invalid e = assertThrows(Config.Invalid.class, () -> Config.compile(GOOD.replace(from, to)));
        assertTrue(e.getMessage().contains(fault), e.getMessage());
    }

    @Test
    void everyFaultIsNamedAtOnceAndACutDocumentIsRefused() {
        Config.Invalid e = assertThrows(Config.Invalid.class,
                () -> Config.compile(GOOD.replace("/p/", "p").replace("null,2,\"desk\"", "null,2,\"nobody\"")));
        assertTrue(e.getMessage().contains("slash") && e.getMessage().contains("nobody"), e.getMessage());
        for (int cut = 1; cut < GOOD.strip().length(); cut += 17) {
            String part = GOOD.substring(0, cut);
            assertThrows(Config.Invalid.class, () -> Config.compile(part));
        }
    }

    @Test
    void twoRoutesInOnePlaceAreInvalid() {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        assertTrue(GOOD.contains(row));
        Config.Invalid e = assertThrows(Config.Invalid.class,
                () -> Config.compile(GOOD.replace(row, row + "," + row.replace("\"r\"", "\"q\""))));
        assertTrue(e.getMessage().contains("same place"), e.getMessage());
    }

    @Test
    void theLongestPrefixOnTheExactPathWins() throws Config.Invalid {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        Config c = Config.compile(GOOD.replace(row, row + "," + row.replace("\"r\"", "\"q\"").replace("/p/", "/p/%2f/")));
        assertEquals("q", c.route("X.example:80", "/p/%2f/1").name());
        assertEquals("r", c.route("x.example", "/p/%2F/1").name());
        assertNull(c.route("x.example", "/p"));
        assertNull(c.route("y.example", "/p/1"));
    }

    @Test
    void anAmendmentKeepsWhatItDoesNotName() throws Config.Invalid {
        Config c = Config.compile(GOOD.replace("\"limits\"", "\"ours\":{\"x\":1},\"limits\""));
        JsonObject change = Config.tree("""
                {"epoch":7,"baseVersion":5,"upsert":{"routeTable":{"columns":["name","authority","pathPrefix","routeClass",
                "deadline","goal","rank","target"],"rows":[["n","x.example","/n/","mutating","1s","1s",0,"desk"]]}},
                "remove":{"routeTable":["r"]}}""");
        Config next = Config.compile(c.amend(change).toString());
        assertEquals(7, next.epoch);
        assertNull(next.route("x.example", "/p/1"));
        assertEquals("n", next.route("x.example", "/n/1").name());
        assertTrue(Packed.unpack(next.packed).contains("\"ours\":{\"x\":1}"), "unknown fields are kept");
        assertNotEquals(c.difference(null), next.difference(c));
        assertTrue(next.difference(c).startsWith("+1 ~0 -1 "));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "quiet = \"3s\"|quiet = 3|bounds.quiet: must be a text",
        "quiet = \"3s\"||bounds.quiet: is missing",
        "drain = \"2500ms\"|drain = \"2500\"|bounds.drain: must be a time",
        "appAddr = \"10.0.1.1:9000\"|appAddr = \"nowhere\"|appAddr: must be an address",
        "portRange = [7000, 7010]|portRange = [7010, 7000]|portRange: must be two ports",
        "[limits]||limits: section is missing",
        "node = \"weft-1\"|node = |is no TOML"})
    void settingsThatAreNotFitNameFileAndField(String from, String to, String fault) {
        String good = toml();
        assertTrue(good.contains(from), good);
        Settings.Unfit e = assertThrows(Settings.Unfit.class,
                () -> Settings.parse(good.replace(from, to == null ? "" : to), "weft.toml"));
        assertTrue(e.getMessage().startsWith("weft.toml: ") && e.getMessage().contains(fault), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "front = \"10.0.1.1:8004\"||listeners.front: is missing",
        "ready = \"10.0.1.1:8003\"||listeners.ready: is missing",
        "address = \"10.9.9.9:80\"||platform.address: is missing",
        "[platform]|[other]|platform: section is missing",
        "discovery = \"platform\"|discovery = \"rumour\"|discovery: must be one of static, platform, not 'rumour'",
        "entry = \"virtual_ip\"|entry = \"door\"|entry: must be one of static, virtual_ip, not 'door'",
        "portRange = [7000, 7010]|portRange = [7000, 7000]|portRange: must leave two ports"})
    void edgeSettingsThatAreNotFitNameFileAndField(String from, String to, String fault) throws Exception {
        String good = toml().replace("sidecar", "edge").replace("appAddr = \"10.0.1.1:9000\"\ntarget = \"desk\"",
                "deployment = \"api\"\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n[platform]\naddress = \"10.9.9.9:80\"")
                .replace("control = \"10.0.1.1:8000\"", "front = \"10.0.1.1:8004\"");
        assertTrue(good.contains(from), good);
        Settings fit = Settings.parse(good, "hem.toml");
        assertEquals("10.0.1.1:8004", fit.outbound());
        assertEquals("10.0.1.1:7001", fit.inbound(), "hems call each other on the second port");
        Settings.Unfit e = assertThrows(Settings.Unfit.class,
                () -> Settings.parse(good.replace(from, to == null ? "" : to), "hem.toml"));
        assertTrue(e.getMessage().startsWith("hem.toml: ") && e.getMessage().contains(fault), e.getMessage());
    }

    @Test
    void aPackedDocumentComesBackAndAGarbledOneIsRefused() throws Exception {
        String document = SimMesh.document(5, 0, "p\u017eilina").repeat(200);
        String packed = Packed.pack(document);
        assertTrue(packed.length() < document.length() / 4);
        assertEquals(document, Packed.unpack(packed));
        assertThrows(Config.Invalid.class, () -> Packed.unpack(packed.substring(0, packed.length() / 2)));
        assertThrows(Config.Invalid.class, () -> Packed.unpack("no such thing!"));
    }

    private static String toml() {
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
                """ + SimMesh.BOUNDS;
    }

    @Test
    void theVaultKeepsWhatItSaid(@TempDir Path dir) throws Exception {
        SqliteVault v = new SqliteVault(dir.toString(), Runnable::run, System::nanoTime, Log.silent());
        assertNull(v.load());
        v.found("abc", List.of(new Vault.Entry(1, 0, "first")));
        CountDownLatch done = new CountDownLatch(3);
        v.save(new Vault.Change(3, "x", 1, 0, List.of(new Vault.Entry(2, 3, "two"), new Vault.Entry(3, 3, "three")), null),
                done::countDown);
        v.save(new Vault.Change(4, null, 2, 3, List.of(new Vault.Entry(3, 4, "other")), null), done::countDown);
        v.save(new Vault.Change(4, "y", 2, 0, List.of(), new Vault.Snapshot(2, 3, List.of("m"), "{}")), done::countDown);
        assertTrue(done.await(20, TimeUnit.SECONDS));
        v.close();
        SqliteVault again = new SqliteVault(dir.toString(), Runnable::run, System::nanoTime, Log.silent());
        Vault.Saved s = again.load();
        assertEquals(new Vault.Saved("abc", 4, "y", 2, new Vault.Snapshot(2, 3, List.of("m"), "{}"),
                List.of(new Vault.Entry(3, 4, "other"))), s);
        again.close();
    }

    @Test
    void afterAFullDiskWritesHoldAgain(@TempDir Path dir) throws Exception {
        CountDownLatch failed = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(2);
        SqliteVault v = new SqliteVault(dir.toString(), task -> {
            task.run();
            failed.countDown();
        }, System::nanoTime, Log.silent());
        v.found("abc", List.of());
        var field = SqliteVault.class.getDeclaredField("db");
        field.setAccessible(true);
        java.sql.Connection db = (java.sql.Connection) field.get(v);
        try (var s = db.createStatement()) {
            s.execute("PRAGMA max_page_count=5");
        }
        v.save(new Vault.Change(1, "x", 0, 0, List.of(new Vault.Entry(1, 1, "long ".repeat(10_000))), null), done::countDown);
        v.save(new Vault.Change(2, "y", 1, 0, List.of(new Vault.Entry(2, 2, "short")), null), done::countDown);
        assertTrue(failed.await(20, TimeUnit.SECONDS));
        assertEquals(2, done.getCount(), "nothing counts as durable while the disk is full");
        assertTrue(v.failing());
        try (var s = db.createStatement()) {
            s.execute("PRAGMA max_page_count=100000");
        }
        assertTrue(done.await(20, TimeUnit.SECONDS), "writes hold again by themselves");
        v.close();
        SqliteVault again = new SqliteVault(dir.toString(), Runnable::run, System::nanoTime, Log.silent());
        assertEquals(2, again.load().term());
        assertEquals(2, again.load().entries().size());
        again.close();
    }

    @Test
    void theCatalogueHoldsExactlyTheEventsOfTheCode() throws Exception {
        List<String> code = new ArrayList<>();
        for (Log.Event e : Log.Event.values()) {
            code.add("B" + e.number + " " + e.name() + " " + e.level);
        }
        assertEquals(code.size(), new TreeSet<>(code.stream().map(c -> c.split(" ")[0]).toList()).size(), "numbers differ");
        List<String> docs = new ArrayList<>();
        Matcher m = Pattern.compile("^\\| (B\\d+) \\| (\\w+) \\| (\\w+) \\|", Pattern.MULTILINE)
                .matcher(Files.readString(Path.of("docs/log-events.md")));
        while (m.find()) {
            docs.add(m.group(1) + " " + m.group(2) + " " + m.group(3));
        }
        assertEquals(new TreeSet<>(code), new TreeSet<>(docs));
    }

    @Test
    void dependenciesGoOnlyDownwards() {
        Architectures.layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("role").definedBy("bramblespool.role..").layer("coordination").definedBy("bramblespool.coordination..")
                .layer("protocol").definedBy("bramblespool.protocol..").layer("transport").definedBy("bramblespool.transport..")
                .layer("raft").definedBy("bramblespool.raft..").layer("state").definedBy("bramblespool.state..")
                .whereLayer("role").mayNotBeAccessedByAnyLayer()
                .whereLayer("coordination").mayOnlyBeAccessedByLayers("role")
                .whereLayer("raft").mayOnlyBeAccessedByLayers("role", "coordination")
                .whereLayer("protocol").mayOnlyBeAccessedByLayers("role", "coordination")
                .whereLayer("transport").mayOnlyBeAccessedByLayers("role", "coordination", "raft", "protocol")
                .whereLayer("state").mayOnlyBeAccessedByLayers("role", "coordination", "raft", "protocol", "transport")
                .check(new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
        com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses().that()
                .resideInAnyPackage("bramblespool.coordination..", "bramblespool.raft..").should().dependOnClassesThat()
                .resideInAnyPackage("io.undertow..", "org.xnio..", "java.sql..")
                .check(new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
    }
}
