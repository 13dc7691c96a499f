package bramblespool.coordination;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/** A side's session with one helm, by which it is a member: with the one of its zone, or with another while that is silent. */
final class Membership {
    /** Renewals without an answer before the side turns to another helm. */
    private static final int MISSES = 2;
    /** How much sooner than at the next renewal a side without a session tries again, at first and in the end. */
    private static final int HURRY = 12;

    private static final int LEAST_HURRY = 3;
    /** After so many renewals elsewhere the helm of the own zone is tried again. */
    private static final int HOMEWARD = 10;

    private final Supplier<Settings> settings;
    private final News news;
    private final Terms terms;
    private final Confirmation confirmation;
    private final Clock clock;
    private final Wire wire;
    private final long callMs;
    private final long renewalMs;
    private final EventLog log;
    private String helm;
    private boolean open;
    /** Numbers this side's sessions: the higher one holds. */
    private long number;

    private int misses;
    private int renewals;
    private int rotation;
    /** The home helm that was tried while the session was elsewhere: it is tried at once when first heard of. */
    private String homeTried;

    private boolean outnumbered;
    private boolean hurrying;
    private long hurry;

    /** What runs began here, where somebody wants to know; goes with each renewal. */
    private final Tally tally;

    private final TrueTime time;
    private String tallyAt;

    Membership(
            Supplier<Settings> settings,
            News news,
            Terms terms,
            Confirmation confirmation,
            Tally tally,
            TrueTime time,
            Clock clock,
            Wire wire,
            long callMs,
            long renewalMs,
            EventLog log) {
        this.settings = settings;
        this.news = news;
        this.terms = terms;
        this.confirmation = confirmation;
        this.tally = tally;
        this.time = time;
        this.clock = clock;
        this.wire = wire;
        this.callMs = callMs;
        this.renewalMs = renewalMs;
        this.log = log;
    }

    boolean open() {
        return open;
    }

    /** The helm it has a session with, or seeks one with; null before the first. */
    String helm() {
        return helm;
    }

    /** To be called once in each renewal. */
    void renew() {
        if (helm == null || misses >= MISSES) {
            if (open) {
                log.log(Event.SESSION_LOST, "controller", helm);
                open = false;
            }
            pick();
        } else {
            renewals++;
            String home = home();
            if (home != null && !home.equals(helm) && (!home.equals(homeTried) || renewals % HOMEWARD == 0 || !open)) {
                homeTried = home;
                tryHome(home);
            }
        }
        if (helm != null) {
            ask();
        }
    }

    void end() {
        if (helm != null) {
            wire.call(helm, "session", message(helm, number, true), callMs, a -> {});
        }
    }

    private String home() {
        for (News.Item i : news.under(Fleet.HELM)) {
            if (!i.body().path("gone").asBoolean()
                    && i.body().path("zone").asText().equals(settings.get().zone())) {
                return i.body().path("peer").asText();
            }
        }
        return null;
    }

    /** The helm of the own zone; where that is unknown or silent the others in turn, each side in an order of its own. */
    private void pick() {
        String home = home();
        List<String> all = new ArrayList<>(Fleet.helms(news, settings.get()));
        if (home != null && !home.equals(helm)) {
            homeTried = home;
            helm = home;
        } else if (!all.isEmpty()) {
            all.sort(Comparator.comparingLong(
                    h -> Rendezvous.weight(settings.get().node(), h)));
            helm = all.get(rotation++ % all.size());
        }
        number++;
        misses = 0;
        renewals = 0;
    }

    private void ask() {
        String to = helm;
        long asked = clock.now();
        wire.call(to, "session", message(to, number, false), callMs, a -> {
            if (a != null) {
                counted(to, asked, a);
            } else {
                confirmation.lacks(to);
            }
            if (!to.equals(helm)) {
                return;
            }
            if (a != null) {
                answered(a);
                return;
            }
            misses++;
            if (open && misses >= MISSES) {
                renew();
            } else if (!open) {
                misses = MISSES;
                hurry();
            }
        });
    }

    /**
     * Without a session nothing is known for sure: the next helm is asked soon, but less and less so, for helms that are
     * slow to answer are made slower by being asked.
     */
    private void hurry() {
        if (hurrying) {
            return;
        }
        hurrying = true;
        hurry = Math.min(renewalMs / LEAST_HURRY, Math.max(renewalMs / HURRY, hurry * 2));
        clock.after((long) (hurry * (0.5 + clock.chance())), () -> {
            hurrying = false;
            if (!open) {
                renew();
            }
        });
    }

    private ObjectNode message(String to, long ofNumber, boolean end) {
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("node", settings.get().node())
                .put("peer", settings.get().peerAddress())
                .put("life", news.life())
                .put("n", ofNumber)
                .put("hash", news.hash())
                .put("end", end);
        if (tally != null) {
            if (!to.equals(tallyAt)) {
                tally.toAnother();
            }
            m.set("usage", tally.tell());
        }
        return m;
    }

    /** The helm has the sums as they were told, and says what time most have. */
    private void counted(String at, long asked, JsonNode a) {
        if (tally != null && a.has("change")) {
            tallyAt = at;
            tally.taken(a.path("change").asLong());
            time.take(time.offsetOf(a.path("time").asLong(), clock.now() - asked));
        }
    }

    private void answered(JsonNode a) {
        misses = 0;
        hurry = 0;
        if (!a.path("ok").asBoolean()) {
            number = Math.max(number, a.path("n").asLong()) + 1;
            news.raise(a.path("life").asLong());
            // An earlier process had a session of a higher number: above that it is taken at once.
            if (!outnumbered) {
                outnumbered = true;
                ask();
            }
            return;
        }
        outnumbered = false;
        if (!open) {
            open = true;
            log.log(Event.SESSION_OPENED, "controller", helm);
        }
        terms.heard(a.path("term").asLong());
        boolean touch = a.path("touch").asBoolean(true);
        String at = helm;
        if (!a.path("same").asBoolean()) {
            news.compare(at, how -> confirmation.compared(at, how));
        } else {
            confirmation.compared(at, touch ? News.Compared.IN_TOUCH : News.Compared.DONE);
        }
        if (!touch) {
            confirmation.lacks(at);
            compareElsewhere();
        }
    }

    /** The helm here hears nothing of who leads, and may be cut off: another one is asked as well. */
    private void compareElsewhere() {
        List<String> others = new ArrayList<>(Fleet.helms(news, settings.get()));
        others.remove(helm);
        if (!others.isEmpty()) {
            String other = others.get((int) (clock.chance() * others.size()));
            news.compare(other, how -> confirmation.compared(other, how));
        }
    }

    /** The session here goes on under its own number until the one at home stands. */
    private void tryHome(String home) {
        long next = number + 1;
        String from = helm;
        wire.call(home, "session", message(home, next, false), callMs, a -> {
            if (!from.equals(helm) || number >= next) {
                return;
            }
            if (a != null && a.path("ok").asBoolean()) {
                number = next;
                helm = home;
                answered(a);
            } else {
                // It may stand there all the same, and lapse: the session here must outrank that.
                number = next + 1;
            }
        });
    }
}
