package bramblespool.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checked reading of a JSON tree: every fault is noted with its place, none is thrown before all are known. */
public final class Fields {
    private final JsonObject tree;
    private final String place;
    private final List<String> faults;

    public Fields(JsonObject tree, String place, List<String> faults) {
        this.tree = tree;
        this.place = place;
        this.faults = faults;
    }

    /** Reads {@code 1500ms} or {@code 2.5s}; -1 where the text is no time. */
    public static long millis(String text) {
        String number;
        double unit;
        if (text.endsWith("ms")) {
            number = text.substring(0, text.length() - 2);
            unit = 1;
        } else if (text.endsWith("s")) {
            number = text.substring(0, text.length() - 1);
            unit = 1000;
        } else {
            return -1;
        }
        try {
            double value = Double.parseDouble(number.strip()) * unit;
            return value >= 0 && value < 1e15 ? Math.round(value) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    public void fault(String field, String what) {
        faults.add(place + field + ": " + what);
    }

    public boolean has(String field) {
        return tree.has(field) && !tree.get(field).isJsonNull();
    }

    public String text(String field) {
        return text(field, null);
    }

    public String text(String field, String otherwise) {
        if (!has(field)) {
            return missing(field, otherwise);
        }
        JsonElement e = tree.get(field);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
            fault(field, "must be a text");
            return otherwise;
        }
        return e.getAsString();
    }

    public double number(String field, Double otherwise) {
        if (!has(field)) {
            Double d = missing(field, otherwise);
            return d == null ? 0 : d;
        }
        JsonElement e = tree.get(field);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isNumber()) {
            fault(field, "must be a number");
            return 0;
        }
        return e.getAsDouble();
    }

    public long whole(String field, Long otherwise) {
        double d = number(field, otherwise == null ? null : (double) otherwise);
        if (d != Math.rint(d)) {
            fault(field, "must be a whole number");
        }
        return (long) d;
    }

    public boolean flag(String field, boolean otherwise) {
        if (!has(field)) {
            return otherwise;
        }
        JsonElement e = tree.get(field);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isBoolean()) {
            fault(field, "must be true or false");
            return otherwise;
        }
        return e.getAsBoolean();
    }

    public long time(String field, String otherwise) {
        String t = text(field, otherwise);
        if (t == null) {
            return 0;
        }
        long ms = millis(t);
        if (ms < 0) {
            fault(field, "must be a time such as 1500ms or 2.5s, not '" + t + "'");
            return 0;
        }
        return ms;
    }

    /** One of the words of an enumeration, in small letters. */
    public <E extends Enum<E>> E choice(String field, E otherwise) {
        String word = text(field, otherwise.name().toLowerCase(Locale.ROOT));
        List<String> known = new ArrayList<>();
        for (E e : otherwise.getDeclaringClass().getEnumConstants()) {
            String w = e.name().toLowerCase(Locale.ROOT);
            if (w.equals(word)) {
                return e;
            }
            known.add(w);
        }
        fault(field, "must be one of " + String.join(", ", known) + ", not '" + word + "'");
        return otherwise;
    }

    /** A server's state: ready or draining. */
    public String state(String field) {
        String state = text(field);
        if (state != null && !state.equals("ready") && !state.equals("draining")) {
            fault(field, "must be ready or draining, not " + state);
        }
        return state;
    }

    /** An IPv4 address and port. */
    public String address(String field, String otherwise) {
        String a = text(field, otherwise);
        if (a != null && !a.isEmpty() && !isAddress(a)) {
            fault(field, "must be an address such as 10.0.0.1:8080, not '" + a + "'");
        }
        return a;
    }

    public static boolean isAddress(String a) {
        int colon = a.lastIndexOf(':');
        if (colon <= 0) {
            return false;
        }
        try {
            int port = Integer.parseInt(a.substring(colon + 1));
            return port > 0 && port < 65536;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    public List<String> texts(String field) {
        List<String> out = new ArrayList<>();
        if (!has(field)) {
            return out;
        }
        if (!tree.get(field).isJsonArray()) {
            fault(field, "must be a list");
            return out;
        }
        for (JsonElement e : tree.getAsJsonArray(field)) {
            if (e.isJsonPrimitive()) {
                out.add(e.getAsString());
            } else {
                fault(field, "must hold texts");
            }
        }
        return out;
    }

    public List<Config.Share> shares(String field) {
        List<Config.Share> out = new ArrayList<>();
        if (!has(field)) {
            return out;
        }
        if (!tree.get(field).isJsonArray()) {
            fault(field, "must be a list");
            return out;
        }
        int i = 0;
        for (JsonElement e : tree.getAsJsonArray(field)) {
            String at = place + field + "[" + i++ + "].";
            if (e.isJsonObject()) {
                Fields f = new Fields(e.getAsJsonObject(), at, faults);
                out.add(new Config.Share(f.text("target", ""), f.number("share", null)));
            } else {
                faults.add(at + ": must be an object");
            }
        }
        return out;
    }

    public Map<String, String> table(String field) {
        Map<String, String> out = new LinkedHashMap<>();
        if (has(field) && tree.get(field).isJsonObject()) {
            tree.getAsJsonObject(field)
                    .entrySet()
                    .forEach(e -> out.put(e.getKey(), e.getValue().getAsString()));
        }
        return out;
    }

    public Fields section(String field) {
        if (!has(field) || !tree.get(field).isJsonObject()) {
            fault(field, "section is missing");
            return new Fields(new JsonObject(), place + field + ".", new ArrayList<>());
        }
        return new Fields(tree.getAsJsonObject(field), place + field + ".", faults);
    }

    private <T> T missing(String field, T otherwise) {
        if (otherwise == null) {
            fault(field, "is missing");
        }
        return otherwise;
    }
}
