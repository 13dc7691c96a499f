package bramblespool.model;

import bramblespool.model.KeyedClients.ServerOutcome;
import bramblespool.model.ScheduleStep.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws schedules from seeds, weighted towards what has gone wrong or might. */
final class ScheduleGenerator {
    /** What a schedule is about. */
    enum Theme {
        /** The leader or another controller is partitioned; requests to it during the partition and as it ends. */
        CUT_OFF,
        /** Rivals on one version, lost answers, repeats, many at once. */
        RIVALS,
        /** Losses in turn, as close as the budget allows. */
        TURNS,
        /** Many changes while a controller is away. */
        AWAY,
        /** Everything fails at once, right after a request. */
        CLOSING,
        /** More is cut, frozen and killed than the budget allows, with disks kept: what is agreed must bear that. */
        BEYOND,
        /** All go at once, again and again, in the midst of elections. */
        STORM,
        MIX,
        /** A leader stands still with a candidate, a rival of the same number is committed, and it leads again. */
        LEADS_AGAIN,
        /** Requests with idempotency keys, repeated inside and outside their window while processes end and return. */
        KEYED
    }

    private static final Kind[] LOSSES = {
        Kind.CUT,
        Kind.ISOLATE,
        Kind.FREEZE,
        Kind.KILL,
        Kind.POWER,
        Kind.WIPE,
        Kind.REPLACE,
        Kind.LEAVE,
        Kind.SLOW_DISK,
        Kind.HANGING_DISK,
        Kind.FULL_DISK,
        Kind.SLOW_LINK,
        Kind.LINK_CUT,
        Kind.SPLIT
    };
    private static final int MAX_DURATION_MS = 20_000;

    private final Random random;
    private final int controllers;
    private final int sidecars;
    private final int toleratedLosses;
    private final boolean isBeyondBudget;
    private final List<ScheduleStep> steps = new ArrayList<>();
    private int nextOrder;

    private ScheduleGenerator(long seed, Theme theme) {
        random = new Random(seed * 31 + theme.ordinal());
        int size = random.nextInt(10);
        controllers = size < 4 ? 3 : size < 8 ? 4 : 5;
        sidecars = theme == Theme.KEYED ? 4 : 2;
        isBeyondBudget = theme == Theme.BEYOND || theme == Theme.STORM;
        toleratedLosses = controllers == 5 && random.nextInt(3) > 0 ? 2 : 1;
    }

    static Theme themeOf(long seed) {
        return Theme.values()[(int) Math.floorMod(seed, (long) Theme.values().length)];
    }

    static Schedule schedule(long seed) {
        return schedule(seed, themeOf(seed));
    }

    static Schedule schedule(long seed, Theme theme) {
        ScheduleGenerator generator = new ScheduleGenerator(seed, theme);
        switch (theme) {
            case CUT_OFF -> generator.drawCutOff();
            case RIVALS -> generator.drawRivals();
            case TURNS -> generator.drawTurns();
            case AWAY -> generator.drawAway();
            case CLOSING -> generator.drawClosing();
            case BEYOND -> generator.drawBeyond();
            case STORM -> generator.drawStorm();
            case KEYED -> generator.drawKeyed();
            case LEADS_AGAIN -> generator.drawLeadsAgain();
            default -> generator.drawMix();
        }
        return new Schedule(
                seed,
                generator.controllers,
                generator.sidecars,
                generator.toleratedLosses,
                generator.isBeyondBudget,
                generator.steps);
    }

    private boolean add(long atMs, Kind kind, String target, long durationMs, int argument) {
        steps.add(new ScheduleStep(atMs, kind, target, durationMs, argument));
        if (new Schedule(0, controllers, sidecars, toleratedLosses, isBeyondBudget, steps).isWithinBudget()) {
            return true;
        }
        steps.remove(steps.size() - 1);
        return false;
    }

    private String drawTarget() {
        int choice = random.nextInt(10);
        return choice < 5 ? "L" : choice < 7 ? "F" : String.valueOf(1 + random.nextInt(controllers));
    }

    private String drawRecipient() {
        int choice = random.nextInt(10);
        return choice < 3 ? "L" : choice < 5 ? "O" : choice < 6 ? String.valueOf(1 + random.nextInt(controllers)) : "?";
    }

    private void addOrder(long atMs, String recipient) {
        add(atMs, Kind.ORDER, recipient, 1 + random.nextInt(3), nextOrder++);
    }

    /** A few orders, rivals and repeats about a moment. */
    private void addOrders(long fromMs, long spanMs, int count) {
        for (int i = 0; i < count; i++) {
            long atMs = fromMs + random.nextInt((int) Math.max(1, spanMs));
            addOrder(atMs, drawRecipient());
            int choice = random.nextInt(10);
            if (choice < 3) {
                addOrder(atMs + random.nextInt(30), drawRecipient());
            } else if (choice < 6) {
                add(atMs + random.nextInt(2000), Kind.AGAIN, drawRecipient(), 0, random.nextInt(nextOrder));
            } else if (choice < 7) {
                add(atMs + random.nextInt(500), Kind.READ, drawRecipient(), 0, 0);
            } else if (choice < 8) {
                add(atMs, Kind.EVACUATE, drawRecipient(), 0, random.nextInt(3) + (random.nextBoolean() ? 10 : 0));
            }
        }
    }

    private void drawCutOff() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
        for (int i = 0; i < 1 + random.nextInt(2); i++) {
            int longest = random.nextInt(6) == 0 ? MAX_DURATION_MS : 5000;
            long durationMs = 200 + random.nextInt(longest);
            Kind kind = random.nextInt(5) == 0 ? Kind.FREEZE : random.nextInt(5) == 0 ? Kind.ISOLATE : Kind.CUT;
            String target = random.nextInt(3) > 0 ? "L" : drawTarget();
            int manner = random.nextInt(6);
            if (manner < 3) {
                addOrder(atMs - random.nextInt(60), drawRecipient());
            }
            add(atMs, kind, target, durationMs, random.nextInt(3));
            add(atMs + 1, Kind.CHAIN, "O", 0, 2 * (1 + random.nextInt(4)));
            for (long orderAtMs = atMs + random.nextInt(manner < 3 ? 800 : 3000);
                    orderAtMs < atMs + durationMs + 400;
                    orderAtMs += 100 + random.nextInt(1500)) {
                String recipient = random.nextInt(2) == 0 ? "O" : "L";
                addOrder(orderAtMs, recipient);
                if (manner % 3 == 0) {
                    addOrder(orderAtMs + random.nextInt(400), random.nextBoolean() ? "O" : "?");
                } else if (manner % 3 == 1) {
                    addOrder(orderAtMs, random.nextBoolean() ? "O" : "?");
                } else {
                    add(
                            orderAtMs + random.nextInt(600),
                            random.nextBoolean() ? Kind.READ : Kind.AGAIN,
                            "O",
                            0,
                            random.nextInt(nextOrder));
                }
            }
            for (int k = 0; k < 3; k++) {
                addOrder(atMs + durationMs - 30 + random.nextInt(150), random.nextBoolean() ? "O" : "?");
            }
            atMs += durationMs + Schedule.CATCH_UP_MS + random.nextInt(1000);
        }
    }

    private void drawRivals() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
        for (int i = 0; i < 2 + random.nextInt(3); i++) {
            int rivals = 1 + random.nextInt(8);
            long above = 1 + random.nextInt(3);
            for (int k = 0; k < rivals; k++) {
                add(
                        atMs + random.nextInt(40),
                        Kind.ORDER,
                        drawRecipient(),
                        random.nextInt(3) > 0 ? above : above + random.nextInt(3),
                        nextOrder++);
            }
            for (int k = 0; k < random.nextInt(4); k++) {
                add(atMs + random.nextInt(1500), Kind.AGAIN, drawRecipient(), 0, random.nextInt(nextOrder));
            }
            if (random.nextBoolean()) {
                add(atMs + random.nextInt(40), Kind.MUTE, "-", 100 + random.nextInt(1500), 0);
            }
            int choice = random.nextInt(8);
            long faultAtMs = atMs + random.nextInt(120);
            if (choice < 2) {
                add(faultAtMs, Kind.KILL, drawTarget(), 100 + random.nextInt(1500), 0);
            } else if (choice < 4) {
                add(faultAtMs, Kind.FREEZE, drawTarget(), 100 + random.nextInt(2000), random.nextInt(2));
            } else if (choice < 5) {
                add(faultAtMs, Kind.ALL_KILLED, "-", 400 + random.nextInt(800), 0);
            } else if (choice < 6) {
                add(faultAtMs, Kind.LOSSY, "-", 500 + random.nextInt(3000), 5 + random.nextInt(30));
            }
            atMs += random.nextBoolean() ? random.nextInt(500) : 1000 + random.nextInt(4000);
        }
    }

    private void drawTurns() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(300);
        for (int i = 0; i < 2 + random.nextInt(3); i++) {
            for (int k = 0; k < toleratedLosses; k++) {
                Kind kind = random.nextInt(3) > 0
                        ? List.of(Kind.WIPE, Kind.REPLACE, Kind.LEAVE, Kind.POWER)
                                .get(random.nextInt(4))
                        : LOSSES[random.nextInt(LOSSES.length)];
                long durationMs = 100 + random.nextInt(random.nextBoolean() ? 600 : 3000);
                String target =
                        random.nextInt(2) == 0 ? drawTarget() : String.valueOf(1 + random.nextInt(controllers + i));
                if (toleratedLosses == 1) {
                    addOrder(atMs - random.nextInt(150), drawRecipient());
                }
                addFault(atMs + (k == 0 ? 0 : random.nextInt(800)), kind, target, durationMs);
            }
            addOrders(atMs, 3000, random.nextInt(3));
            long endMs = atMs;
            for (ScheduleStep step : steps) {
                if (step.losses(controllers) > 0) {
                    endMs = Math.max(endMs, step.endMs());
                }
            }
            atMs = endMs + Schedule.CATCH_UP_MS + random.nextInt(random.nextBoolean() ? 20 : 2000);
        }
    }

    private void addFault(long atMs, Kind kind, String target, long durationMs) {
        switch (kind) {
            case SPLIT -> add(atMs, kind, "-", durationMs, 1 + random.nextInt((1 << controllers) - 2));
            case SLOW_DISK -> add(atMs, kind, target, durationMs, 20 + random.nextInt(400));
            case SLOW_LINK -> add(atMs, kind, target, durationMs, 5 + random.nextInt(200));
            case LINK_CUT -> add(atMs, kind, target, durationMs, 1 + random.nextInt(controllers));
            case FREEZE, CUT -> add(atMs, kind, target, durationMs, random.nextInt(3));
            default -> add(atMs, kind, target, durationMs, 0);
        }
    }

    private void drawAway() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(300);
        int changes = random.nextInt(12) == 0 ? 200 : 34 + random.nextInt(40);
        Kind kind = List.of(
                        Kind.KILL,
                        Kind.POWER,
                        Kind.CUT,
                        Kind.FREEZE,
                        Kind.WIPE,
                        Kind.REPLACE,
                        Kind.SLOW_DISK,
                        Kind.SLOW_LINK)
                .get(random.nextInt(8));
        long durationMs = 2000 + random.nextInt(changes > 100 ? 18_000 : 7000);
        addFault(atMs, kind, random.nextInt(4) == 0 ? "L" : "F", durationMs);
        add(atMs + random.nextInt(400), Kind.MANY, "?", 0, changes);
        if (random.nextInt(3) == 0) {
            add(
                    atMs + durationMs + random.nextInt(600),
                    random.nextBoolean() ? Kind.ALL_POWER : Kind.ALL_KILLED,
                    "-",
                    400 + random.nextInt(600),
                    0);
        }
        if (random.nextBoolean()) {
            // What is sent to it as it is back comes late and twice, while more goes on.
            add(
                    atMs + durationMs - random.nextInt(300),
                    Kind.LOSSY,
                    "-",
                    1000 + random.nextInt(2000),
                    5 + random.nextInt(30));
            add(atMs + durationMs - 500 + random.nextInt(500), Kind.MANY, "?", 0, 10 + random.nextInt(20));
        }
        addFault(
                atMs + durationMs + Schedule.CATCH_UP_MS + random.nextInt(500),
                LOSSES[random.nextInt(LOSSES.length)],
                drawTarget(),
                200 + random.nextInt(2000));
        addOrders(atMs, durationMs + 2000, random.nextInt(3));
    }

    private void drawClosing() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(2000);
        for (int i = 0; i < 1 + random.nextInt(2); i++) {
            addOrder(atMs, drawRecipient());
            if (random.nextBoolean()) {
                addOrder(atMs, drawRecipient());
            }
            long faultAtMs = atMs + random.nextInt(80);
            switch (random.nextInt(6)) {
                case 4, 5 -> addLateReturn(faultAtMs);
                case 0 -> add(faultAtMs, Kind.ALL_KILLED, "-", 400 + random.nextInt(2000), 0);
                case 1 -> add(faultAtMs, Kind.ALL_POWER, "-", 400 + random.nextInt(2000), 0);
                case 2 -> add(faultAtMs, Kind.CLOSING, "-", 400 + random.nextInt(2000), toleratedLosses);
                default -> {
                    for (int k = 0; k < toleratedLosses; k++) {
                        add(faultAtMs, Kind.WIPE, k == 0 ? "L" : "F", 100 + random.nextInt(2000), 0);
                    }
                    if (random.nextBoolean()) {
                        add(faultAtMs + 1 + random.nextInt(3000), Kind.ALL_POWER, "-", 400 + random.nextInt(600), 0);
                    }
                }
            }
            addOrders(faultAtMs, 4000, random.nextInt(3));
            atMs = faultAtMs + 6500 + random.nextInt(1000);
        }
    }

    /** One misses an order and is back as all others come back, too. */
    private void addLateReturn(long atMs) {
        long durationMs = 400 + random.nextInt(2000);
        addFault(
                atMs,
                List.of(Kind.CUT, Kind.KILL, Kind.POWER, Kind.FREEZE, Kind.LEAVE, Kind.HANGING_DISK)
                        .get(random.nextInt(6)),
                random.nextInt(3) == 0 ? "L" : "F",
                durationMs);
        addOrder(atMs + random.nextInt((int) durationMs / 2), "L");
        addOrder(atMs + random.nextInt((int) durationMs), "?");
        long downtimeMs = 300 + random.nextInt(500);
        add(
                Math.max(atMs + 20, atMs + durationMs - downtimeMs + random.nextInt(200)),
                random.nextBoolean() ? Kind.ALL_KILLED : Kind.ALL_POWER,
                "-",
                downtimeMs,
                0);
    }

    /** Who was long away is back, with others than the leader, as its place is given to another. */
    private void drawReturnElsewhere() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(300);
        long durationMs = (random.nextInt(4) == 0 ? 7500 : 3600) + random.nextInt(1500);
        int awayController = 1 + random.nextInt(3);
        add(atMs, Kind.CUT, String.valueOf(awayController), durationMs, 0);
        long splitAtMs = atMs + durationMs - random.nextInt(500);
        int companion = 1 + random.nextInt(3);
        add(splitAtMs, Kind.SPLIT, "-", 1500 + random.nextInt(2500), 1 << companion - 1 | 1 << controllers - 1);
        for (int k = 0; k < 6; k++) {
            addOrder(splitAtMs + random.nextInt(3000), String.valueOf(1 + random.nextInt(controllers)));
        }
    }

    private void drawBeyond() {
        if (controllers == 4 && random.nextInt(3) == 0) {
            drawReturnElsewhere();
            return;
        }
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            long durationMs = 100 + random.nextInt(1500);
            if (random.nextInt(3) > 0) {
                addFault(atMs, random.nextBoolean() ? Kind.WIPE : Kind.REPLACE, drawTarget(), durationMs);
            }
            for (int k = 0; k < 2 + random.nextInt(4); k++) {
                long faultAtMs = atMs + random.nextInt((int) durationMs + 2500);
                Kind kind = List.of(
                                Kind.SPLIT,
                                Kind.SPLIT,
                                Kind.CUT,
                                Kind.FREEZE,
                                Kind.KILL,
                                Kind.POWER,
                                Kind.LINK_CUT,
                                Kind.HANGING_DISK)
                        .get(random.nextInt(8));
                addFault(faultAtMs, kind, drawTarget(), 100 + random.nextInt(2500));
                addOrder(faultAtMs + random.nextInt(600), drawRecipient());
            }
            addOrders(atMs, durationMs + 2500, 1 + random.nextInt(3));
            atMs += durationMs + 3000 + random.nextInt(4000);
        }
    }

    private void drawStorm() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
        boolean lossy = random.nextBoolean();
        for (int i = 0; i < 3 + random.nextInt(5); i++) {
            addOrder(atMs, "?");
            addOrder(atMs + random.nextInt(100), "?");
            long durationMs = 310 + random.nextInt(200);
            add(
                    atMs + random.nextInt(120),
                    random.nextBoolean() ? Kind.ALL_KILLED : Kind.ALL_POWER,
                    "-",
                    durationMs,
                    0);
            if (random.nextBoolean()) {
                addFault(
                        atMs + random.nextInt(300),
                        List.of(Kind.HANGING_DISK, Kind.SLOW_DISK, Kind.FREEZE, Kind.CUT)
                                .get(random.nextInt(4)),
                        drawTarget(),
                        200 + random.nextInt(800));
            }
            if (lossy) {
                add(atMs, Kind.LOSSY, "-", 800, 10 + random.nextInt(30));
            }
            atMs += durationMs + 200 + random.nextInt(random.nextBoolean() ? 300 : 1500);
        }
    }

    /** Whoever leads is killed until the first leader, which holds a candidate that was given up, may lead again. */
    private void drawLeadsAgain() {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
        int increment = 1 + random.nextInt(2);
        long durationMs = 1500 + random.nextInt(2500);
        Kind pause = random.nextBoolean() ? Kind.FREEZE : Kind.CUT;
        add(atMs - 200 + random.nextInt(100), Kind.WEFT_CUT, "-", 1500, 0);
        add(atMs, random.nextBoolean() ? Kind.ORDER : Kind.AMEND, "L", increment, nextOrder++);
        add(atMs + 15 + random.nextInt(150), pause, "L", durationMs, 0);
        long rivalAtMs = atMs + 300 + random.nextInt(1200);
        add(rivalAtMs, random.nextBoolean() ? Kind.ORDER : Kind.AMEND, "?", increment, nextOrder++);
        long killAtMs = atMs + durationMs + Schedule.CATCH_UP_MS + 200 + random.nextInt(500);
        for (int i = 0; i < 3; i++) {
            add(killAtMs, random.nextBoolean() ? Kind.KILL : Kind.POWER, "L", 300 + random.nextInt(300), 0);
            add(killAtMs + 1500 + random.nextInt(1500), Kind.AMEND, "?", 1 + random.nextInt(2), nextOrder++);
            killAtMs += 600 + Schedule.CATCH_UP_MS + random.nextInt(500);
        }
    }

    private void drawKeyed() {
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> drawReuseAfterRestarts();
            case 3 -> drawNewVoters();
            case 4 -> drawProxyEndingAtOnce();
            default -> drawAnyKeys();
        }
    }

    /** Keys that are reserved while a voter is missing, and used elsewhere after one of the voters was replaced. */
    private void drawNewVoters() {
        long killedMs = Schedule.CATCH_UP_MS + random.nextInt(1000);
        add(killedMs, Kind.ALL_KILLED, "-", 1500 + random.nextInt(500), 0);
        long replacedMs = killedMs + 8000 + random.nextInt(2000);
        add(replacedMs, Kind.KILL, String.valueOf(1 + random.nextInt(3)), 1500 + random.nextInt(8000), 0);
        for (int key = 0; key < 24; key++) {
            addTry(killedMs + 1300 + random.nextInt(800), random.nextInt(sidecars), key, ServerOutcome.ANSWERED);
            addTry(replacedMs + 1000 + random.nextInt(12_000), random.nextInt(sidecars), key, ServerOutcome.ANSWERED);
        }
    }

    /** Keys whose answer is given by a second proxy as well, right before the one that executed them ends. */
    private void drawProxyEndingAtOnce() {
        long killedMs = Schedule.CATCH_UP_MS + 1500 + random.nextInt(1000);
        add(killedMs, Kind.WEFT_KILLED, "-", 300 + random.nextInt(2000), 0);
        for (int key = 0; key < 12; key++) {
            long atMs = killedMs - 600 + random.nextInt(400);
            addTry(atMs, 0, key, ServerOutcome.ANSWERED);
            addTry(atMs + 130 + random.nextInt(60), 1, key, ServerOutcome.ANSWERED);
            addTry(killedMs + 8000 + random.nextInt(2000), 2, key, ServerOutcome.ANSWERED);
        }
    }

    private void drawAnyKeys() {
        int keys = 6 + random.nextInt(10);
        for (int key = 0; key < keys; key++) {
            drawKey(key);
        }
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            long atMs = Schedule.CATCH_UP_MS + random.nextInt(95_000);
            long durationMs = 300 + random.nextInt(3500);
            Kind kind = List.of(
                            Kind.KILL,
                            Kind.KILL,
                            Kind.POWER,
                            Kind.WIPE,
                            Kind.FREEZE,
                            Kind.CUT,
                            Kind.CLOCK,
                            Kind.ALL_KILLED,
                            Kind.ALL_POWER)
                    .get(random.nextInt(9));
            if (kind == Kind.CLOCK) {
                add(atMs, kind, drawTarget(), 20_000, random.nextInt(6000) - 3000);
            } else {
                addFault(atMs, kind, String.valueOf(1 + random.nextInt(controllers)), durationMs);
            }
        }
        for (int i = 0; i < random.nextInt(4); i++) {
            long atMs = Schedule.CATCH_UP_MS + random.nextInt(80_000);
            add(atMs, Kind.WEFT_KILLED, "-", 300 + random.nextInt(2000), random.nextInt(sidecars));
        }
    }

    /** Keys that are used again behind their retention, and repeated, while voters are restarted in turn. */
    private void drawReuseAfterRestarts() {
        int retentionMs = 78_000 + random.nextInt(2000);
        long reuseMs = Schedule.CATCH_UP_MS + retentionMs + 3000;
        for (int key = 0; key < 12; key++) {
            long atMs = Schedule.CATCH_UP_MS + random.nextInt(500);
            addTry(atMs, 0, key, ServerOutcome.REFUSED);
            addTry(atMs + 2500, 1, key, drawOutcome());
            addTry(reuseMs + random.nextInt(500), 2, key, drawOutcome());
            addTry(reuseMs + 2000 + random.nextInt(1000), 3, key, drawOutcome());
        }
        long firstMs = Schedule.CATCH_UP_MS + 4000 + random.nextInt(50_000);
        addFault(firstMs, Kind.KILL, String.valueOf(1 + random.nextInt(controllers)), 300 + random.nextInt(3000));
        long secondMs = reuseMs + 600 + random.nextInt(1500);
        addFault(secondMs, Kind.KILL, String.valueOf(1 + random.nextInt(controllers)), 300 + random.nextInt(3000));
    }

    /** One key: a first try, which may be refused, a second one, and repeats about the end of its window. */
    private void drawKey(int key) {
        long atMs = Schedule.CATCH_UP_MS + random.nextInt(6000);
        int sidecar = random.nextInt(sidecars);
        addTry(atMs, sidecar, key, random.nextInt(5) < 2 ? ServerOutcome.REFUSED : drawOutcome());
        int choice = random.nextInt(3);
        atMs += choice == 0
                ? 300 + random.nextInt(1500)
                : choice == 1 ? 2000 + random.nextInt(10_000) : 20_000 + random.nextInt(25_000);
        addTry(atMs, random.nextInt(3) > 0 ? sidecar : random.nextInt(sidecars), key, drawOutcome());
        for (int i = 0; i < 2 + random.nextInt(2); i++) {
            long gapMs = random.nextInt(3) == 0 ? 1500 + random.nextInt(10_000) : 40_000 + random.nextInt(50_000);
            int repeated = random.nextInt(sidecars);
            addTry(atMs + gapMs, repeated, key, drawOutcome());
            if (random.nextInt(3) == 0) {
                addTry(atMs + gapMs + 1 + random.nextInt(10), repeated, key, drawOutcome());
            }
            addTry(atMs + gapMs + 1500 + random.nextInt(1500), random.nextInt(sidecars), key, drawOutcome());
        }
    }

    private ServerOutcome drawOutcome() {
        return random.nextInt(12) == 0 ? ServerOutcome.LOST : ServerOutcome.ANSWERED;
    }

    private void addTry(long atMs, int sidecar, int key, ServerOutcome outcome) {
        steps.add(ScheduleStep.keyedTry(atMs, sidecar, key, outcome));
    }

    private void drawMix() {
        long atMs = Schedule.CATCH_UP_MS;
        for (int i = 0; i < 3 + random.nextInt(5); i++) {
            atMs += random.nextInt(2500);
            long durationMs = 100 + random.nextInt(3000);
            switch (random.nextInt(9)) {
                case 0 -> add(atMs, Kind.LOSSY, "-", durationMs, 3 + random.nextInt(30));
                case 1 -> add(atMs, Kind.CLOCK, drawTarget(), durationMs, random.nextInt(20_000) - 10_000);
                case 2 -> add(atMs, Kind.WEFT_KILLED, "-", durationMs, random.nextInt(2));
                case 3 -> add(atMs, Kind.WEFT_CUT, "-", durationMs, random.nextInt(2));
                case 4 -> add(atMs, random.nextBoolean() ? Kind.ALL_POWER : Kind.ALL_KILLED, "-", 400 + durationMs, 0);
                case 5 -> add(atMs, Kind.SPARE, "-", 0, 0);
                case 6 -> add(atMs, Kind.MUTE, "-", durationMs, 0);
                default -> addFault(atMs, LOSSES[random.nextInt(LOSSES.length)], drawTarget(), durationMs);
            }
            addOrders(atMs, 1500, random.nextInt(3));
        }
    }
}
