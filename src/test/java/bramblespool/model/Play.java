package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;

/** One schedule, played from an empty mesh until it is calm again, with all that must hold checked on the way. */
final class Play {
    private static final int FIRST = 1000;
    private static final int LAST = 1001;
    private static final int MANY = 2000;
    /** How often a leader is looked for after the last fault, and what an operator's own hops may take beyond {@code ack}. */
    private static final long HOP = 100;

    private final Schedule schedule;
    final SimMesh mesh;
    final SimWorld world;
    final History history = new History();
    final Invariants invariants;
    final Operators operators;
    /** Helms there have been, by number; null where one is gone for good. */
    private final List<String> helms = new ArrayList<>();

    private String leader;
    private String before;
    private int many = MANY;
    /** What begins as soon as another helm leads. */
    private final List<Runnable> onChange = new ArrayList<>();

    private Play(Schedule schedule) {
        this.schedule = schedule;
        mesh = new SimMesh(schedule.seed(), schedule.helms(), schedule.wefts(), schedule.losses(), null);
        world = mesh.world;
        invariants = new Invariants(mesh, history, schedule.losses());
        operators =
                new Operators(world, () -> helms.stream().filter(h -> h != null).toList(), history);
        world.tap = invariants;
        world.weighs = schedule.steps().stream().anyMatch(s -> s.kind() == Step.Kind.SLOW_LINK);
        world.resent = 0.5;
        mesh.helms.forEach((peer, h) -> {
            helms.add(peer);
            serve(peer, h);
        });
        leader = helms.get(0);
        before = leader;
        world.afterEach = this::afterEach;
    }

    /** Plays it; what is broken comes as null or as the breach. */
    static Broken play(Schedule s) {
        return new Play(s).run();
    }

    long step() {
        return world.step();
    }

    private void serve(String peer, ControllerNode h) {
        world.machine(peer).disk.tears = true;
        world.machine(peer).serve(new Door(h, this));
    }

    private void afterEach() {
        invariants.check();
        ControllerNode l = mesh.leader();
        if (l != null) {
            String now = RaftView.addressOf(RaftView.member(l));
            if (!now.equals(leader)) {
                before = leader;
                leader = now;
                List<Runnable> then = List.copyOf(onChange);
                onChange.clear();
                then.forEach(Runnable::run);
            }
        }
    }

    private Broken run() {
        try {
            operators.order(FIRST, 5, helms.get(0), e -> {});
            long start = world.now();
            schedule.steps().forEach(s -> world.at(s.at(), () -> apply(s)));
            world.run(schedule.ends() + Schedule.QUIET);
            calmAgain(start);
            return null;
        } catch (Broken b) {
            return b;
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            return new Broken("NothingThrows", e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }

    // ---- the end

    private void calmAgain(long start) {
        Operators.Errand last = operators.order(LAST, 3, helm("?"), e -> {});
        Operators.Errand read = operators.read(helm("?"));
        long until = world.now() + Schedule.ACK + HOP;
        while (world.now() < until && (last.done < 0 || read.done < 0)) {
            world.run(HOP);
        }
        for (Operators.Errand e : operators.errands) {
            answeredInCalm(e, start);
        }
        if (last.status != 200 && last.status != 412) {
            throw new Broken("CalmOrdersAreTaken", last.what + " is answered " + last.status);
        }
        history.linearizable();
        long now = mesh.leader().replicatedState().current().epoch();
        // The version of the newest acknowledgement, unless one that nobody heard of came after it.
        long inTime = world.now() + Schedule.APPLY;
        while (world.now() < inTime && !all(now)) {
            world.run(HOP);
        }
        for (var w : mesh.wefts.entrySet()) {
            if (w.getValue().shadowCommit.epoch() < now) {
                throw new Broken(
                        "SidesFollowInTime",
                        w.getKey() + " is at " + w.getValue().shadowCommit.epoch() + ", not " + now);
            }
        }
        operators.evacuated.forEach((zone, on) -> {
            var e = mesh.leader().replicatedState().evacuations().get(zone);
            if (!operators.evacuating(zone) && (e != null && e.isEvacuated()) != on) {
                throw new Broken("AcknowledgedIsKept", "evacuation of " + zone + " is not " + on);
            }
        });
        operators.stop();
        history.linearizable();
    }

    private boolean all(long epoch) {
        for (DataPlaneNode w : mesh.wefts.values()) {
            if (w.shadowCommit.epoch() < epoch) {
                return false;
            }
        }
        return true;
    }

    /** Nothing waits longer than {@code ack} for its answer while nothing troubles the core. */
    private void answeredInCalm(Operators.Errand e, long start) {
        long end = e.done >= 0 ? e.done : world.now();
        for (long from = e.since; from + Schedule.ACK + HOP <= end; from += HOP) {
            if (from - start >= Schedule.CATCH_UP && schedule.calm(from - start, from - start + Schedule.ACK)) {
                throw new Broken(
                        "CalmOrdersAreAnswered",
                        e.what + " waits from " + (e.since - start) + " to " + (end - start)
                                + (e.done < 0 ? " and on" : "") + (mesh.leader() == null ? ", nobody leads" : "")
                                + ", members "
                                + mesh.helms.values().stream()
                                        .map(h -> RaftView.member(h) + (RaftView.leads(h) ? "*" : ""))
                                        .toList()
                                + " voters "
                                + mesh.helms.values().stream()
                                        .map(RaftView::voters)
                                        .toList());
            }
        }
    }

    // ---- steps

    /** The helm that a step names, or null where there is none. */
    private String helm(String who) {
        switch (who.charAt(0)) {
            case 'L' -> {
                return leader;
            }
            case 'O' -> {
                return before;
            }
            case 'F', '?' -> {
                List<String> some = new ArrayList<>(helms);
                some.removeIf(h -> h == null
                        || who.equals("F")
                                && (h.equals(leader) || !world.machine(h).up()));
                return some.isEmpty() ? null : some.get(world.random.nextInt(some.size()));
            }
            default -> {
                int n = Integer.parseInt(who);
                return n > helms.size() ? null : helms.get(n - 1);
            }
        }
    }

    private void apply(Step s) {
        switch (s.kind()) {
            case ORDER -> operators.order(s.n(), s.ms(), helm(s.who()), e -> {});
            case AGAIN -> operators.again(s.n(), helm(s.who()));
            case READ -> operators.read(helm(s.who()));
            case EVACUATE -> operators.evacuate(SimMesh.ZONES[s.n() % 10 % 3], s.n() < 10, helm(s.who()));
            case MANY -> many(s.n());
            case CHAIN -> onChange.add(() -> chain(s.n(), s.who()));
            case SPLIT -> split(s);
            case SPARE -> spare();
            case ALL_KILLED, ALL_POWER -> all(s, List.of());
            case CLOSING -> {
                List<String> up = new ArrayList<>(mesh.helms.keySet());
                java.util.Collections.shuffle(up, world.random);
                all(s, up.subList(0, Math.min(s.n(), up.size())));
            }
            case LOSSY -> {
                world.lose = s.n() / 100.0;
                world.twice = world.lose;
                world.spreadMs = s.n() * 10L;
                world.at(s.ms(), () -> {
                    world.lose = 0;
                    world.twice = 0;
                    world.spreadMs = 0;
                });
            }
            case MUTE -> {
                List<String> all = List.copyOf(mesh.helms.keySet());
                all.forEach(h -> world.cut(h, Operators.PEER, true));
                world.at(s.ms(), () -> all.forEach(h -> world.cut(h, Operators.PEER, false)));
            }
            case WEFT_KILLED, WEFT_CUT -> weft(s);
            default -> {
                String peer = helm(s.who());
                if (peer != null && world.machine(peer).up()) {
                    one(s, peer, world.machine(peer));
                }
            }
        }
    }

    private void one(Step s, String peer, SimWorld.Machine m) {
        switch (s.kind()) {
            case CUT -> {
                for (String h : helms) {
                    if (h != null && !h.equals(peer)) {
                        cut(peer, h, s);
                    }
                }
            }
            case ISOLATE -> {
                world.isolate(peer, true);
                world.at(s.ms(), () -> world.isolate(peer, false));
            }
            case LINK_CUT -> {
                String other = helm(String.valueOf(s.n()));
                if (other != null && !other.equals(peer)) {
                    cut(peer, other, new Step(s.at(), s.kind(), s.who(), s.ms(), world.random.nextInt(3)));
                }
            }
            case FREEZE -> m.freeze(s.ms(), s.n() > 0);
            case KILL, POWER -> {
                kill(peer, s.kind() == Step.Kind.POWER);
                world.at(s.ms(), () -> boot(peer));
            }
            case WIPE -> {
                kill(peer, true);
                invariants.wiped(m);
                m.disk.wipe();
                world.at(s.ms(), () -> boot(peer));
            }
            case REPLACE -> {
                kill(peer, true);
                invariants.wiped(m);
                m.disk.wipe();
                helms.set(helms.indexOf(peer), null);
                world.at(s.ms(), this::spare);
            }
            case LEAVE -> {
                ControllerNode h = mesh.helms.get(peer);
                h.leave();
                world.at(120, () -> finish(peer, h, s, world.now() + Step.GRACE));
            }
            case SLOW_DISK -> {
                m.disk.slowMs = s.n();
                world.at(s.ms(), () -> m.disk.slowMs = 0);
            }
            case HANGING_DISK -> m.disk.hangsUntil = world.now() + s.ms();
            case FULL_DISK -> {
                m.disk.full = true;
                world.at(s.ms(), () -> m.disk.full = false);
            }
            case SLOW_LINK -> {
                m.linkRate = s.n();
                world.at(s.ms(), () -> m.linkRate = 0);
            }
            case CLOCK -> {
                m.skewMs += s.n();
                world.at(s.ms(), () -> m.skewMs -= s.n());
            }
            default -> throw new IllegalStateException(s.toString());
        }
    }

    /** A process that was told to end does so when the group can do without it, or when its time is up. */
    private void finish(String peer, ControllerNode h, Step s, long until) {
        if (mesh.helms.get(peer) != h) {
            return;
        }
        if (h.hasLeft() || world.now() >= until) {
            h.stop();
            kill(peer, false);
            world.at(s.ms(), () -> boot(peer));
        } else {
            world.at(10, () -> finish(peer, h, s, until));
        }
    }

    private void cut(String one, String other, Step s) {
        if (s.n() != 2) {
            world.cut(one, other, true);
            world.at(s.ms(), () -> world.cut(one, other, false));
        }
        if (s.n() != 1) {
            world.cut(other, one, true);
            world.at(s.ms(), () -> world.cut(other, one, false));
        }
    }

    private void split(Step s) {
        for (int i = 0; i < helms.size(); i++) {
            for (int k = 0; k < helms.size(); k++) {
                if ((s.n() >> i & 1) == 1 && (s.n() >> k & 1) == 0 && helms.get(i) != null && helms.get(k) != null) {
                    cut(helms.get(i), helms.get(k), new Step(s.at(), s.kind(), s.who(), s.ms(), 0));
                }
            }
        }
    }

    private void kill(String peer, boolean power) {
        if (world.machine(peer).up()) {
            mesh.killHelm(peer, power);
            world.machine(peer).dark = power;
        }
    }

    private void boot(String peer) {
        if (helms.contains(peer) && !world.machine(peer).up()) {
            mesh.startHelm(peer, false);
            serve(peer, mesh.helms.get(peer));
        }
    }

    private void spare() {
        String peer = SimMesh.helmPeer(helms.size());
        helms.add(peer);
        boot(peer);
    }

    private void all(Step s, List<String> wiped) {
        for (String peer : List.copyOf(mesh.helms.keySet())) {
            kill(peer, s.kind() != Step.Kind.ALL_KILLED);
            if (wiped.contains(peer)) {
                invariants.wiped(world.machine(peer));
                world.machine(peer).disk.wipe();
            }
            world.at(s.ms() - world.random.nextInt(300), () -> boot(peer));
        }
    }

    private void weft(Step s) {
        String peer = SimMesh.weftPeer(s.n() % schedule.wefts());
        if (s.kind() == Step.Kind.WEFT_CUT) {
            world.isolate(peer, true);
            world.at(s.ms(), () -> world.isolate(peer, false));
        } else if (world.machine(peer).up()) {
            mesh.killWeft(peer);
            world.at(s.ms(), () -> {
                if (!world.machine(peer).up()) {
                    mesh.startWeft(peer);
                }
            });
        }
    }

    private void chain(int left, String who) {
        if (left > 0) {
            operators.order(many++, 1, helm(left % 2 == 0 ? "L" : who), e -> {
                if (world.random.nextBoolean()) {
                    operators.read(helm(who));
                }
                chain(left - 1, who);
            });
        }
    }

    private void many(int left) {
        if (left > 0) {
            operators.order(many++, 1, helm("?"), e -> many(left - 1));
        }
    }
}
