package bramblespool.model;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import javax.tools.ToolProvider;

/** Plays the model on code with one fault in it, and says which invariant sees it, and after how many schedules. */
public final class Mutants {
    /** One text in one source, and what stands there instead. */
    private record Edit(String file, String text, String instead) {}

    private record Mutant(String name, String theme, List<Edit> edits) {}

    private static final Path MAIN = Path.of("src/main/java/bramblespool");
    private static final Path OUT = Path.of("target/mutants");

    private Mutants() {}

    private static Mutant mutant(String name, String theme, String... edits) {
        List<Edit> all = new ArrayList<>();
        for (int i = 0; i < edits.length; i += 3) {
            all.add(new Edit(edits[i], edits[i + 1], edits[i + 2]));
        }
        return new Mutant(name, theme, all);
    }

    private static final List<Mutant> ALL = List.of(
            mutant(
                    "votes twice in a term",
                    "MIX",
                    "raft/Raft.java",
                    "if (vote != null && !vote.equals(candidate)) {",
                    "if (vote == null && candidate == null) {"),
            mutant(
                    "votes before its disk has the vote",
                    "MIX",
                    "raft/Election.java",
                    "raft.persist(0, List.of(), null, () -> answer.accept(yes));",
                    "raft.persist(0, List.of(), null, () -> { }); answer.accept(yes);"),
            mutant(
                    "wins with half of the votes",
                    "MIX",
                    "state/Voters.java",
                    "Math.max(voters / 2 + 1,",
                    "Math.max(Math.max(1, voters / 2),"),
            mutant(
                    "votes for whoever lacks entries",
                    "CLOSING",
                    "raft/Election.java",
                    "if (!upToDate || !raft.voteFor(from)) {",
                    "if (!raft.voteFor(from)) {",
                    "raft/Election.java",
                    "asked > raft.term() && upToDate",
                    "asked > raft.term()"),
            mutant(
                    "its term goes back",
                    "CUT_OFF",
                    "raft/Raft.java",
                    "if (t < term) {",
                    "if (t < 0) {",
                    "raft/Raft.java",
                    "boolean newer = newTerm > term;",
                    "boolean newer = newTerm != term;",
                    "raft/Raft.java",
                    "if (t > term ||",
                    "if (t != term ||"),
            mutant(
                    "a follower answers before its disk",
                    "MIX",
                    "raft/Replication.java",
                    "boolean[] over = {false};",
                    "boolean[] over = {true}; answer.accept(yes);"),
            mutant(
                    "a leader counts itself before its disk",
                    "MIX",
                    "raft/Raft.java",
                    "persist(0, List.of(e), null, () -> {",
                    "replication.stored(e.index()); persist(0, List.of(e), null, () -> {"),
            mutant(
                    "one copy is enough",
                    "MIX",
                    "state/Voters.java",
                    "return Math.max(voters / 2 + 1, Math.min(copies, voters));",
                    "return copies == 0 ? voters / 2 + 1 : 1;"),
            mutant(
                    "agrees on an older term's entry by counting",
                    "STORM",
                    "raft/Replication.java",
                    "&& raft.entries.termAt(agreed) == raft.term()",
                    "",
                    // Else the first entry of the new term goes in the same message as the old one.
                    "raft/Replication.java",
                    "ENTRIES_AT_ONCE = 64",
                    "ENTRIES_AT_ONCE = 1"),
            mutant(
                    "does not look at the entry before",
                    "CUT_OFF",
                    "raft/Replication.java",
                    "entries.termAt(prev) != m.path(\"prevTerm\").asLong()",
                    "false"),
            mutant(
                    "keeps what differs from its leader",
                    "CUT_OFF",
                    "raft/Replication.java",
                    "if (at <= entries.last() && entries.termAt(at) != e.term()) {",
                    "if (at <= entries.last() && e.term() < 0) {"),
            mutant(
                    "stores entries altered",
                    "MIX",
                    "raft/Replication.java",
                    "n.path(\"term\").asLong(), n.path(\"data\").asText())",
                    "n.path(\"term\").asLong(), n.path(\"data\").asText() + \" \")"),
            mutant(
                    "forgets evacuations with the next version",
                    "MIX",
                    "state/Ledger.java",
                    "        candidate = null;\n        phase = Phase.DECIDED;",
                    "        candidate = null;\n        evacuations.clear();\n        phase = Phase.DECIDED;"),
            mutant(
                    "takes any snapshot",
                    "AWAY",
                    "raft/Replication.java",
                    "if (ofSnapshot && index <= raft.commit && raft.fit()) {",
                    "if (ofSnapshot && index < 0) {",
                    "raft/Replication.java",
                    "|| index < raft.entries.base()",
                    "",
                    // Else the entries behind it stay, and all that was applied is applied again at once.
                    "raft/RaftLog.java",
                    "boolean agrees = termAt(by.index()) == by.term();",
                    "boolean agrees = false;"),
            mutant(
                    "says yes to a snapshot that its disk lacks",
                    "AWAY",
                    "raft/Replication.java",
                    "store(0, List.of(), null, answer);",
                    "answer.accept(raft.reply(true));"),
            mutant(
                    "a snapshot forgets what was taken",
                    "AWAY",
                    "state/Ledger.java",
                    "        n.path(\"taken\")\n                .fields()\n"
                            + "                .forEachRemaining(f -> taken.put(brief(f.getKey()), f.getValue().asLong()));",
                    ""),
            mutant("a snapshot forgets the voters", "AWAY", "raft/RaftLog.java", "votersThen = votersOf(get(i));", ""),
            mutant(
                    "changes voters while a change is open",
                    "BEYOND",
                    "raft/Configuration.java",
                    "|| raft.entries.changesVoters(raft.commit)",
                    ""),
            mutant(
                    "never replaces who is absent",
                    "TURNS",
                    "raft/Configuration.java",
                    "} else if (silent > raft.times.absent() &&",
                    "} else if (silent < 0 &&"),
            mutant(
                    "swaps a voter in one step",
                    "BEYOND",
                    "raft/Configuration.java",
                    "RaftLog.members(group.to(next))",
                    "RaftLog.members(Voters.read(next))"),
            mutant(
                    "reads without asking",
                    "CUT_OFF",
                    "raft/Reads.java",
                    "waiting.add(new Read(raft.clock.now(), done));",
                    "if (raft.leads()) { done.accept(true); return; }"),
            mutant(
                    "refuses without a majority",
                    "CUT_OFF",
                    "coordination/Commit.java",
                    "raft.confirm(ok -> {",
                    "java.util.Optional.of(true).ifPresent(ok -> {"),
            mutant(
                    "leads before it has applied all",
                    "CLOSING",
                    "raft/Raft.java",
                    "        ready = false;\n        replication.clear();",
                    "        ready = true;\n        replication.clear();"),
            mutant(
                    "does not know a repeat",
                    "RIVALS",
                    "coordination/Commit.java",
                    "if (ledger.taken(change.digest())) {",
                    "if (false) {",
                    "coordination/Commit.java",
                    "return ledger.taken(change.digest())",
                    "return false"),
            mutant(
                    "does not look at the base",
                    "RIVALS",
                    "coordination/Commit.java",
                    ": change.base() != epoch ? Orders.Outcome.stale(epoch) : null;",
                    ": null;",
                    "state/Ledger.java",
                    "candidateBase != current.epoch ||",
                    ""),
            mutant(
                    "refuses where it cannot know",
                    "RIVALS",
                    "coordination/Commit.java",
                    "if (!ok || !ledger.taken(o.change.digest())) {\n                o.done.accept(Orders.Outcome.unclear(\"the lead was lost\"));",
                    "if (!ok || !ledger.taken(o.change.digest())) {\n                o.done.accept(Orders.Outcome.stale(0));"),
            mutant(
                    "refuses a number that is free",
                    "MIX",
                    "coordination/Commit.java",
                    "if (config.epoch <= ledger.current().epoch()) {",
                    "if (config.epoch <= ledger.current().epoch() + 3 && config.epoch > 5) {"),
            mutant(
                    "leaves what the last leader left",
                    "RIVALS",
                    "coordination/Commit.java",
                    "if (ledger.candidate() != null) {",
                    "if (false) {"),
            mutant(
                    "works on two changes at once",
                    "RIVALS",
                    "coordination/Commit.java",
                    "        busy = true;\n        long mine = lead;\n        ObjectNode e",
                    "        long mine = lead;\n        ObjectNode e"),
            mutant(
                    "records a change under another's digest",
                    "MIX",
                    "state/Ledger.java",
                    "taken.put(brief(current.digest), epoch);",
                    "taken.put(brief(current.digest), epoch); taken.put(brief(current.digest) + \"x\", epoch);"),
            mutant(
                    "forgets an evacuation",
                    "MIX",
                    "state/Ledger.java",
                    "            case \"evac\" ->\n                evacuations.put(\n"
                            + "                        e.path(\"zone\").asText(), new Evacuation(e.path(\"on\").asBoolean(), index));",
                    "            case \"evac\" -> { }"),
            mutant(
                    "a side takes an older version",
                    "MIX",
                    "coordination/Shadow.java",
                    "if (decided.epoch <= epoch()) {",
                    "if (decided.epoch == epoch()) {",
                    "coordination/WeftCore.java",
                    "if (epoch < shadow.epoch()) {",
                    "if (epoch < 0) {",
                    "coordination/WeftCore.java",
                    "|| shadow.epoch() >= epoch) {",
                    ") {"),
            mutant(
                    "a side uses what is only proposed",
                    "MIX",
                    "coordination/Shadow.java",
                    "        installed[1 - real] = candidate;\n",
                    "        installed[1 - real] = candidate;\n        real = 1 - real;\n"),
            mutant(
                    "a side that missed a version stays there",
                    "MIX",
                    "coordination/WeftCore.java",
                    "if (fetching) {\n            return;",
                    "if (epoch > 0) {\n            return;"),
            mutant(
                    "an index is off by one",
                    "CUT_OFF",
                    "raft/RaftLog.java",
                    "entries.subList((int) (from - before - 1), entries.size()).clear();",
                    "entries.subList((int) (from - before), entries.size() - 1).clear();"));

    /** {@code [--most 400] [--only part of a name]}. */
    public static void main(String[] args) throws Exception {
        int maxSeeds = 400;
        String nameFilter = "";
        for (int i = 0; i + 1 < args.length; i += 2) {
            if (args[i].equals("--most")) {
                maxSeeds = Integer.parseInt(args[i + 1]);
            } else {
                nameFilter = args[i + 1];
            }
        }
        for (Mutant mutant : ALL) {
            for (Edit e : mutant.edits) {
                if (!Files.readString(MAIN.resolve(e.file)).contains(e.text)) {
                    System.out.println(mutant.name + ": " + e.file + " has no " + e.text);
                }
            }
        }
        int missedCount = 0;
        System.out.println("| Mutant | Seen by | Schedules |\n| --- | --- | --- |");
        for (int i = 0; i < ALL.size(); i++) {
            Mutant mutant = ALL.get(i);
            if (mutant.name.contains(nameFilter)) {
                String seen = runMutant(mutant, OUT.resolve("m" + i), maxSeeds);
                missedCount += seen.contains("not seen") ? 1 : 0;
                System.out.println("| " + mutant.name + " | " + seen + " |");
            }
        }
        System.exit(missedCount == 0 ? 0 : 1);
    }

    private static String runMutant(Mutant mutant, Path directory, int maxSeeds) throws Exception {
        compile(mutant, directory);
        List<URL> classpath = new ArrayList<>();
        classpath.add(directory.resolve("classes").toUri().toURL());
        for (String p : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            classpath.add(Path.of(p).toUri().toURL());
        }
        try (URLClassLoader loader =
                new URLClassLoader(classpath.toArray(URL[]::new), ClassLoader.getPlatformClassLoader())) {
            var first = loader.loadClass(ViolationSearch.class.getName())
                    .getDeclaredMethod("first", String.class, long.class, long.class);
            first.setAccessible(true);
            for (long from = 1; from <= maxSeeds; ) {
                String violation = (String) first.invoke(null, mutant.theme, from, (long) maxSeeds);
                if (violation == null) {
                    break;
                }
                long seed = Long.parseLong(violation.split(" ")[0]);
                // What the code without the mutant breaks as well does not count.
                if (ScheduleRunner.runSchedule(
                                ScheduleGenerator.schedule(seed, ScheduleGenerator.Theme.valueOf(mutant.theme)))
                        == null) {
                    return violation.split(" ")[1] + " | " + seed;
                }
                from = seed + 1;
            }
            return "not seen | " + maxSeeds;
        }
    }

    private static void compile(Mutant mutant, Path directory) throws IOException {
        if (Files.exists(directory)) {
            try (var old = Files.walk(directory)) {
                for (Path p : old.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
        Path classes = Files.createDirectories(directory.resolve("classes"));
        List<String> args = new ArrayList<>(List.of(
                "-nowarn", "-proc:none", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        for (Edit edit : mutant.edits) {
            Path copy = directory.resolve("src").resolve(edit.file);
            String copyName = copy.toString();
            String source = Files.readString(args.contains(copyName) ? copy : MAIN.resolve(edit.file));
            if (!source.contains(edit.text)) {
                throw new IllegalStateException(mutant.name + ": " + edit.file + " has no " + edit.text);
            }
            Files.createDirectories(copy.getParent());
            Files.writeString(copy, source.replace(edit.text, edit.instead));
            if (!args.contains(copyName)) {
                args.add(copyName);
            }
        }
        if (ToolProvider.getSystemJavaCompiler().run(null, System.out, System.out, args.toArray(String[]::new)) != 0) {
            throw new IllegalStateException(mutant.name + " does not compile");
        }
    }
}
