package bramblespool.model;

import java.io.File;
import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import javax.tools.ToolProvider;

/**
 * Runs the model on each of the {@link Mutants}, and prints which invariant sees the fault and after how many schedules.
 * Its exit status is 1 if one is not seen.
 */
public final class MutantSearch {
    static final Path MAIN_SOURCES = Path.of("src/main/java/bramblespool");
    private static final Path OUTPUT = Path.of("target/mutants");
    private static final long DEFAULT_LAST_SEED = 400;

    private MutantSearch() {}

    /** {@code [--from 1] [--most 400] [--only part of a name]}: the first and the last seed, and which mutants. */
    public static void main(String[] args) throws Exception {
        long firstSeed = 1;
        long lastSeed = DEFAULT_LAST_SEED;
        String nameFilter = "";
        for (int i = 0; i + 1 < args.length; i += 2) {
            switch (args[i]) {
                case "--from" -> firstSeed = Long.parseLong(args[i + 1]);
                case "--most" -> lastSeed = Long.parseLong(args[i + 1]);
                case "--only" -> nameFilter = args[i + 1];
                default -> throw new IllegalArgumentException("unknown option " + args[i]);
            }
        }
        int missedCount = 0;
        System.out.println("| Mutant | Seen by | Schedules |\n| --- | --- | --- |");
        List<Mutant> mutants = Mutants.all();
        for (int i = 0; i < mutants.size(); i++) {
            Mutant mutant = mutants.get(i);
            if (mutant.name().contains(nameFilter)) {
                String seen = runMutant(mutant, OUTPUT.resolve("m" + i), firstSeed, lastSeed);
                missedCount += seen.contains("not seen") ? 1 : 0;
                System.out.println("| " + mutant.name() + " | " + seen + " |");
            }
        }
        System.exit(missedCount == 0 ? 0 : 1);
    }

    private static String runMutant(Mutant mutant, Path directory, long firstSeed, long lastSeed) throws Exception {
        Path classes = compile(mutant, directory);
        List<URL> classpath = new ArrayList<>();
        classpath.add(classes.toUri().toURL());
        for (String path : System.getProperty("java.class.path").split(File.pathSeparator)) {
            classpath.add(Path.of(path).toUri().toURL());
        }
        try (URLClassLoader loader =
                new URLClassLoader(classpath.toArray(URL[]::new), ClassLoader.getPlatformClassLoader())) {
            var first = loader.loadClass(ViolationSearch.class.getName())
                    .getDeclaredMethod("first", String.class, long.class, long.class);
            first.setAccessible(true);
            for (long fromSeed = firstSeed; fromSeed <= lastSeed; ) {
                String violation = (String) first.invoke(null, mutant.theme().name(), fromSeed, lastSeed);
                if (violation == null) {
                    break;
                }
                String[] seedAndInvariant = violation.split(" ");
                long seed = Long.parseLong(seedAndInvariant[0]);
                // What the code without the mutant breaks as well does not count.
                if (ScheduleRunner.runSchedule(ScheduleGenerator.schedule(seed, mutant.theme())) == null) {
                    return seedAndInvariant[1] + " | " + seed;
                }
                fromSeed = seed + 1;
            }
            return "not seen | " + lastSeed;
        }
    }

    /** Compiles the changed sources against the present classes, and answers where the new classes are. */
    private static Path compile(Mutant mutant, Path directory) throws IOException {
        deleteRecursively(directory);
        Path classes = Files.createDirectories(directory.resolve("classes"));
        List<String> args = new ArrayList<>(List.of(
                "-nowarn", "-proc:none", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        args.addAll(writeSources(mutant, directory.resolve("src")));
        if (ToolProvider.getSystemJavaCompiler().run(null, System.out, System.out, args.toArray(String[]::new)) != 0) {
            throw new IllegalStateException(mutant.name() + " does not compile");
        }
        return classes;
    }

    /** Writes the sources that the mutant changes, and answers their paths. */
    private static Set<String> writeSources(Mutant mutant, Path directory) throws IOException {
        Set<String> written = new LinkedHashSet<>();
        for (Mutant.SourceEdit edit : mutant.edits()) {
            Path copy = directory.resolve(edit.file());
            String source =
                    Files.readString(written.contains(copy.toString()) ? copy : MAIN_SOURCES.resolve(edit.file()));
            Files.createDirectories(copy.getParent());
            Files.writeString(copy, edit.applyTo(source));
            written.add(copy.toString());
        }
        return written;
    }

    private static void deleteRecursively(Path directory) throws IOException {
        if (!Files.exists(directory)) {
            return;
        }
        try (Stream<Path> old = Files.walk(directory)) {
            for (Path path : old.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
