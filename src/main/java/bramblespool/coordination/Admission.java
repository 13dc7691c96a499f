package bramblespool.coordination;

import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A side's questions to the helms before a request may go on: a token of its tenant's, and the claim of its operation key,
 * both in one message to the helm that owns the slice.
 */
public final class Admission {
    /** What came of the question. {@code waitMs}: over the limit, and when to come back. */
    public record Answer(Verdict verdict, long waitMs, String stands) {}

    public enum Verdict {
        /** It may go on. */
        GO,
        /** The tenant is over its limit. */
        OVER,
        /** The key is another's, whose claim is given. */
        HELD,
        /** No helm could tell in time. */
        UNSURE
    }

    /** Slices of tenants; each is owned whole by one helm. */
    static final int SLICES = 16;
    /** Begins the key of a slice's duty. */
    static final String SLICE = "tenants/";
    /** Ratios to {@code quiet}: how long one helm is waited for, how long it is left aside after that, the pause between. */
    private static final int PATIENCE = 16;

    private static final int ASIDE = 5;
    private static final int PAUSE = 60;
    /** The least time worth asking in. */
    private static final long LEAST_MS = 5;

    private final Clock clock;
    private final Wire wire;
    private final Supplier<List<String>> voters;
    private final long patienceMs;
    private final long asideMs;
    private final long pauseMs;
    private final Map<String, String> owners = new HashMap<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final Map<String, Long> aside = new HashMap<>();
    /** Tenants over their limit, and until when nobody needs to ask for them. */
    private final Map<String, Long> over = new HashMap<>();

    private final MessageDigest sha;

    Admission(Clock clock, Wire wire, Supplier<List<String>> voters, long quiet) {
        this.clock = clock;
        this.wire = wire;
        this.voters = voters;
        this.patienceMs = quiet / PATIENCE;
        this.asideMs = quiet / ASIDE;
        this.pauseMs = quiet / PAUSE;
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    static String slice(String tenant) {
        return SLICE + Long.remainderUnsigned(Rendezvous.mix(tenant.hashCode() * 0x9E3779B97F4A7C15L), SLICES);
    }

    /** The register of an operation: its slice, and a digest of whose it is and its key, neither of which is told. */
    public String register(String tenant, String key) {
        String s = slice(tenant);
        byte[] d = sha.digest((tenant + "\n" + key).getBytes(StandardCharsets.UTF_8));
        return s.substring(SLICE.length()) + "/"
                + Base64.getUrlEncoder().withoutPadding().encodeToString(d).substring(0, 20);
    }

    /** A number that tells requests apart which came under one key. */
    public long print(String method, String host, String target, byte[] body) {
        sha.update((method + " " + host + " " + target + "\n").getBytes(StandardCharsets.UTF_8));
        byte[] d = sha.digest(body);
        long out = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            out = out << 8 | d[i] & 0xff;
        }
        return out;
    }

    /**
     * Asks for a token where the tenant has a limit, and for the claim where a register is named.
     *
     * @param limited the tenant whose limit holds, or null
     * @param claim what to set the register to where it is empty or holds {@code instead}, or null
     */
    public void ask(
            String tenant,
            RoutingConfiguration.Tenant limited,
            long epoch,
            String register,
            String claim,
            String instead,
            long withinMs,
            Consumer<Answer> done) {
        if (limited != null) {
            Long until = over.get(tenant);
            if (until != null && until > clock.now()) {
                done.accept(new Answer(Verdict.OVER, until - clock.now(), null));
                return;
            }
            over.remove(tenant);
        }
        ObjectNode m = JsonNodeFactory.instance.objectNode().put("slice", slice(tenant));
        if (limited != null) {
            m.put("tenant", tenant)
                    .put("epoch", epoch)
                    .put("rate", limited.ratePerSecond())
                    .put("burst", limited.burst());
        }
        if (register != null) {
            m.put("register", register).put("claim", claim).put("instead", instead);
        }
        new Question(slice(tenant), tenant, m, clock.now() + withinMs, done).ask();
    }

    private final class Question {
        private final String slice;
        private final String tenant;
        private final ObjectNode message;
        private final long until;
        private final Consumer<Answer> done;
        private final Set<String> asked = new HashSet<>();

        Question(String slice, String tenant, ObjectNode message, long until, Consumer<Answer> done) {
            this.slice = slice;
            this.tenant = tenant;
            this.message = message;
            this.until = until;
            this.done = done;
        }

        void ask() {
            long left = until - clock.now();
            String to = left < LEAST_MS ? null : helm();
            if (to == null) {
                done.accept(new Answer(Verdict.UNSURE, pauseMs, null));
                return;
            }
            asked.add(to);
            long within = Math.min(left, patienceMs);
            message.put("within", within);
            wire.call(to, "admit", message, within, a -> {
                if (a == null) {
                    aside.put(to, clock.now() + asideMs);
                    owners.remove(slice, to);
                    ask();
                } else {
                    answered(a);
                }
            });
        }

        /** The owner as far as it is known, else who is first in line of those that answer; each once, then all again. */
        private String helm() {
            long now = clock.now();
            String owner = owners.get(slice);
            if (owner != null && !asked.contains(owner) && aside.getOrDefault(owner, 0L) <= now) {
                return owner;
            }
            List<String> all = voters.get();
            List<String> fresh = new ArrayList<>(all);
            fresh.removeIf(h -> asked.contains(h) || aside.getOrDefault(h, 0L) > now);
            if (fresh.isEmpty()) {
                fresh = new ArrayList<>(all);
                fresh.removeIf(asked::contains);
            }
            if (fresh.isEmpty()) {
                asked.clear();
                fresh = all;
            }
            return Rendezvous.first(slice, fresh);
        }

        private void answered(JsonNode a) {
            String owner = a.path("owner").asText("");
            long fence = a.path("fence").asLong();
            if (fence < fences.getOrDefault(slice, 0L)) {
                // A holder whose duty has gone to another does not know yet.
                later();
                return;
            }
            if (fence > 0) {
                fences.put(slice, fence);
            }
            if (!owner.isEmpty()) {
                owners.put(slice, owner);
            }
            switch (a.path("verdict").asText()) {
                case "go" -> done.accept(new Answer(Verdict.GO, 0, null));
                case "over" -> {
                    long wait = Math.max(1, a.path("wait").asLong());
                    over.put(tenant, clock.now() + wait);
                    done.accept(new Answer(Verdict.OVER, wait, null));
                }
                case "held" ->
                    done.accept(new Answer(Verdict.HELD, 0, a.path("stands").asText()));
                default -> later();
            }
        }

        /** Nobody holds the duty just now, or no majority answers: it is asked again while there is time. */
        private void later() {
            if (until - clock.now() <= pauseMs + LEAST_MS) {
                done.accept(new Answer(Verdict.UNSURE, pauseMs, null));
            } else {
                asked.clear();
                clock.after(pauseMs, this::ask);
            }
        }
    }
}
