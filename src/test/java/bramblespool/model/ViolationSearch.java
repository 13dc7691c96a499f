package bramblespool.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Plays schedules of many seeds, and prints each one that breaks an invariant, shortened. */
public final class ViolationSearch {
    /** What a seed broke. */
    record FoundViolation(long seed, InvariantViolation violation) {}

    private ViolationSearch() {}

    /**
     * {@code --from 1 --count 20000 --threads 4 --shrink 3 --theme TURNS --without REPLACE}; or {@code --play FILE}.
     */
    public static void main(String[] args) throws Exception {
        Map<String, String> options = new TreeMap<>();
        for (int i = 0; i + 1 < args.length; i += 2) {
            options.put(args[i], args[i + 1]);
        }
        if (options.containsKey("--play")) {
            Schedule s = Schedule.parse(java.nio.file.Files.readString(java.nio.file.Path.of(options.get("--play"))));
            System.out.println("fits " + s.isWithinBudget() + "\n" + ScheduleRunner.runSchedule(s));
            return;
        }
        long firstSeed = Long.parseLong(options.getOrDefault("--from", "1"));
        int count = Integer.parseInt(options.getOrDefault("--count", "20000"));
        int maxShrunkPerInvariant = Integer.parseInt(options.getOrDefault("--shrink", "2"));
        ScheduleGenerator.Theme theme =
                options.containsKey("--theme") ? ScheduleGenerator.Theme.valueOf(options.get("--theme")) : null;
        String excludedKind = options.get("--without");
        long startNs = System.nanoTime();
        List<FoundViolation> found = search(
                firstSeed,
                count,
                Integer.parseInt(options.getOrDefault("--threads", "4")),
                Integer.MAX_VALUE,
                theme,
                excludedKind);
        double s = (System.nanoTime() - startNs) / 1e9;
        System.out.printf(
                "%d schedules in %.0f s, %.1f a second, %d broke an invariant%n", count, s, count / s, found.size());
        Map<String, List<FoundViolation>> findingsByInvariant = new TreeMap<>();
        found.forEach(finding -> findingsByInvariant
                .computeIfAbsent(finding.violation.invariant, k -> new ArrayList<>())
                .add(finding));
        findingsByInvariant.forEach((name, all) -> {
            System.out.println(name + ": " + all.size() + ", seeds "
                    + all.stream().limit(12).map(FoundViolation::seed).toList());
            all.stream().limit(maxShrunkPerInvariant).forEach(finding -> {
                System.out.println("  seed " + finding.seed + " " + finding.violation.getMessage());
                Schedule small = ScheduleShrinker.shrink(
                        theme == null
                                ? ScheduleGenerator.schedule(finding.seed)
                                : ScheduleGenerator.schedule(finding.seed, theme),
                        name);
                System.out.println(
                        small + "\n  -> " + ScheduleRunner.runSchedule(small).getMessage());
            });
        });
        if (!found.isEmpty()) {
            System.exit(1);
        }
    }

    /**
     * The first seed of a theme, from one on, that breaks something, and what; null where none does. For {@link
     * MutantSearch}.
     */
    static String first(String theme, long from, long lastSeed) {
        for (long seed = from; seed <= lastSeed; seed++) {
            InvariantViolation violation = ScheduleRunner.runSchedule(
                    ScheduleGenerator.schedule(seed, ScheduleGenerator.Theme.valueOf(theme)));
            if (violation != null) {
                return seed + " " + violation.invariant;
            }
        }
        return null;
    }

    /**
     * Plays until so many seeds have broken something; {@code theme}: of this one only, or null; {@code without}: a
     * step's kind.
     */
    static List<FoundViolation> search(
            long from, int count, int threads, int maxFound, ScheduleGenerator.Theme theme, String excludedKind)
            throws InterruptedException {
        Map<Long, FoundViolation> found = new ConcurrentHashMap<>();
        AtomicLong next = new AtomicLong(from);
        List<Thread> workers = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(() -> {
                for (long seed = next.getAndIncrement();
                        seed < from + count && found.size() < maxFound;
                        seed = next.getAndIncrement()) {
                    Schedule schedule =
                            theme == null ? ScheduleGenerator.schedule(seed) : ScheduleGenerator.schedule(seed, theme);
                    InvariantViolation violation =
                            excludedKind != null && schedule.toString().contains(" " + excludedKind + " ")
                                    ? null
                                    : ScheduleRunner.runSchedule(schedule);
                    if (violation != null) {
                        found.put(seed, new FoundViolation(seed, violation));
                    }
                }
            });
            thread.start();
            workers.add(thread);
        }
        for (Thread thread : workers) {
            thread.join();
        }
        return new ArrayList<>(new TreeMap<>(found).values());
    }
}
