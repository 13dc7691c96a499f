package bramblespool.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Plays schedules of many seeds, and prints each one that breaks an invariant, shortened. */
public final class Hunt {
    /** What a seed broke. */
    record Found(long seed, Broken broken) {}

    private Hunt() {}

    /** {@code --from 1 --count 20000 --threads 4 --shrink 3 --theme TURNS --without REPLACE}; or {@code --play FILE}. */
    public static void main(String[] args) throws Exception {
        Map<String, String> o = new TreeMap<>();
        for (int i = 0; i + 1 < args.length; i += 2) {
            o.put(args[i], args[i + 1]);
        }
        if (o.containsKey("--play")) {
            Schedule s = Schedule.parse(java.nio.file.Files.readString(java.nio.file.Path.of(o.get("--play"))));
            System.out.println("fits " + s.fits() + "\n" + Play.play(s));
            return;
        }
        long from = Long.parseLong(o.getOrDefault("--from", "1"));
        int count = Integer.parseInt(o.getOrDefault("--count", "20000"));
        int shrunk = Integer.parseInt(o.getOrDefault("--shrink", "2"));
        Draw.Theme theme = o.containsKey("--theme") ? Draw.Theme.valueOf(o.get("--theme")) : null;
        String without = o.get("--without");
        long start = System.nanoTime();
        List<Found> found = hunt(
                from, count, Integer.parseInt(o.getOrDefault("--threads", "4")), Integer.MAX_VALUE, theme, without);
        double s = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "%d schedules in %.0f s, %.1f a second, %d broke an invariant%n", count, s, count / s, found.size());
        Map<String, List<Found>> by = new TreeMap<>();
        found.forEach(f ->
                by.computeIfAbsent(f.broken.invariant, k -> new ArrayList<>()).add(f));
        by.forEach((name, all) -> {
            System.out.println(name + ": " + all.size() + ", seeds "
                    + all.stream().limit(12).map(Found::seed).toList());
            all.stream().limit(shrunk).forEach(f -> {
                System.out.println("  seed " + f.seed + " " + f.broken.getMessage());
                Schedule small =
                        Shrink.shrink(theme == null ? Draw.schedule(f.seed) : Draw.schedule(f.seed, theme), name);
                System.out.println(small + "\n  -> " + Play.play(small).getMessage());
            });
        });
        if (!found.isEmpty()) {
            System.exit(1);
        }
    }

    /** The first seed of a theme, from one on, that breaks something, and what; null where none does. For {@link Mutants}. */
    static String first(String theme, long from, long most) {
        for (long seed = from; seed <= most; seed++) {
            Broken b = Play.play(Draw.schedule(seed, Draw.Theme.valueOf(theme)));
            if (b != null) {
                return seed + " " + b.invariant;
            }
        }
        return null;
    }

    /** Plays until so many seeds have broken something; {@code theme}: of this one only, or null; {@code without}: a step's kind. */
    static List<Found> hunt(long from, int count, int threads, int most, Draw.Theme theme, String without)
            throws InterruptedException {
        Map<Long, Found> found = new ConcurrentHashMap<>();
        AtomicLong next = new AtomicLong(from);
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread t = new Thread(() -> {
                for (long seed = next.getAndIncrement();
                        seed < from + count && found.size() < most;
                        seed = next.getAndIncrement()) {
                    Schedule s = theme == null ? Draw.schedule(seed) : Draw.schedule(seed, theme);
                    Broken b = without != null && s.toString().contains(" " + without + " ") ? null : Play.play(s);
                    if (b != null) {
                        found.put(seed, new Found(seed, b));
                    }
                }
            });
            t.start();
            all.add(t);
        }
        for (Thread t : all) {
            t.join();
        }
        return new ArrayList<>(new TreeMap<>(found).values());
    }
}
