package bramblespool.model;

import java.util.ArrayList;
import java.util.List;

/** Makes a schedule that breaks an invariant as short as it can while it still breaks the same one. */
final class Shrink {
    private static final int MOST = 1500;
    private final String invariant;
    private int plays;

    private Shrink(String invariant) {
        this.invariant = invariant;
    }

    static Schedule shrink(Schedule s, String invariant) {
        Shrink k = new Shrink(invariant);
        Schedule best = s;
        for (boolean better = true; better && k.plays < MOST; ) {
            Schedule before = best;
            best = k.fewer(best);
            best = k.sooner(best);
            better = !best.equals(before);
        }
        return best;
    }

    private boolean still(Schedule s) {
        if (plays++ >= MOST || !s.fits()) {
            return false;
        }
        Broken b = Play.play(s);
        return b != null && b.invariant.equals(invariant);
    }

    private Schedule fewer(Schedule s) {
        Schedule best = s;
        for (int part = Math.max(1, s.steps().size() / 2); part >= 1; part /= 2) {
            for (int from = 0; from < best.steps().size(); ) {
                List<Step> left = new ArrayList<>(best.steps());
                left.subList(from, Math.min(left.size(), from + part)).clear();
                Schedule t = best.with(left);
                if (still(t)) {
                    best = t;
                } else {
                    from += part;
                }
            }
        }
        for (int wefts = 0; wefts < best.wefts(); wefts++) {
            Schedule t = new Schedule(best.seed(), best.helms(), wefts, best.losses(), best.beyond(), best.steps());
            if ((wefts > 0 || t.steps().stream().noneMatch(x -> x.kind().name().startsWith("WEFT"))) && still(t)) {
                best = t;
            }
        }
        for (int helms = 3; helms < best.helms(); helms++) {
            Schedule t = new Schedule(best.seed(), helms, best.wefts(), best.losses(), best.beyond(), best.steps());
            if (helms > 2 * best.losses() && still(t)) {
                best = t;
            }
        }
        return best;
    }

    private Schedule sooner(Schedule s) {
        Schedule best = s;
        for (int i = 0; i < best.steps().size(); i++) {
            Step x = best.steps().get(i);
            long half = Math.max(100, x.ms() / 2);
            if (x.trouble() && half < x.ms()) {
                best = tried(best, i, x.with(x.at(), half));
            }
            long at = (x.at() + Schedule.CATCH_UP) / 2;
            if (x.at() > Schedule.CATCH_UP && x.at() - at > 50) {
                best = tried(best, i, x.with(at, x.ms()));
            }
        }
        return best;
    }

    private Schedule tried(Schedule s, int i, Step instead) {
        List<Step> steps = new ArrayList<>(s.steps());
        steps.set(i, instead);
        Schedule t = s.with(steps);
        return still(t) ? t : s;
    }
}
