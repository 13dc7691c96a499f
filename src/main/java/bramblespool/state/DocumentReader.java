package bramblespool.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Reads the fields of a JSON object with their types checked. A field at fault gives its default and adds a fault with
 * its place to a list that all readers of a document share: so all faults are known before any is reported. The order
 * of the faults is that of the calls. Not thread-safe.
 */
public final class DocumentReader {
    private static final double MS_PER_SECOND = 1000;
    /** Durations of so many milliseconds and more are taken for mistakes. */
    private static final double DURATION_LIMIT_MS = 1e15;

    private static final int PORT_LIMIT = 65536;
    private static final String READY = "ready";
    private static final String DRAINING = "draining";

    private final JsonObject json;
    private final String path;
    private final List<String> faults;

    /**
     * Reads an object.
     *
     * @param path the object's place in the document, empty or ending with a full stop
     * @param faults where faults are added
     */
    public DocumentReader(JsonObject json, String path, List<String> faults) {
        this.json = json;
        this.path = path;
        this.faults = faults;
    }

    /** Adds a fault of a field. */
    public void addFault(String field, String message) {
        faults.add(path + field + ": " + message);
    }

    /** Whether the field is there and not null. */
    public boolean has(String field) {
        return json.has(field) && !json.get(field).isJsonNull();
    }

    /** A text that must be there; null where it isn't. */
    public String string(String field) {
        return string(field, null);
    }

    /** A text; the field is required where the default is null. */
    public String string(String field, String defaultValue) {
        if (!has(field)) {
            return reportMissing(field, defaultValue);
        }
        JsonElement element = json.get(field);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
            addFault(field, "must be a text");
            return defaultValue;
        }
        return element.getAsString();
    }

    /** A number; the field is required where the default is null. */
    public double number(String field, Double defaultValue) {
        if (!has(field)) {
            Double missingDefault = reportMissing(field, defaultValue);
            return missingDefault == null ? 0 : missingDefault;
        }
        JsonElement element = json.get(field);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber()) {
            addFault(field, "must be a number");
            return 0;
        }
        return element.getAsDouble();
    }

    /** A number without a fraction; the field is required where the default is null. */
    public long wholeNumber(String field, Long defaultValue) {
        double value = number(field, defaultValue == null ? null : (double) defaultValue);
        if (value != Math.rint(value)) {
            addFault(field, "must be a whole number");
        }
        return (long) value;
    }

    /** True or false. */
    public boolean booleanValue(String field, boolean defaultValue) {
        if (!has(field)) {
            return defaultValue;
        }
        JsonElement element = json.get(field);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            addFault(field, "must be true or false");
            return defaultValue;
        }
        return element.getAsBoolean();
    }

    /** A duration such as {@code 1500ms} or {@code 2.5s}; the field is required where the default is null. */
    public long durationMs(String field, String defaultValue) {
        String text = string(field, defaultValue);
        if (text == null) {
            return 0;
        }
        OptionalLong durationMs = parseDurationMs(text);
        if (durationMs.isEmpty()) {
            addFault(field, "must be a time such as 1500ms or 2.5s, not '" + text + "'");
            return 0;
        }
        return durationMs.getAsLong();
    }

    private static OptionalLong parseDurationMs(String text) {
        if (text.endsWith("ms")) {
            return parseDurationMs(text.substring(0, text.length() - 2), 1);
        }
        if (text.endsWith("s")) {
            return parseDurationMs(text.substring(0, text.length() - 1), MS_PER_SECOND);
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseDurationMs(String number, double msPerUnit) {
        try {
            double durationMs = Double.parseDouble(number.strip()) * msPerUnit;
            return durationMs >= 0 && durationMs < DURATION_LIMIT_MS
                    ? OptionalLong.of(Math.round(durationMs))
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** A constant of an enumeration by its name in lower case. */
    public <E extends Enum<E>> E enumValue(String field, E defaultValue) {
        String text = string(field, defaultValue.name().toLowerCase(Locale.ROOT));
        List<String> knownNames = new ArrayList<>();
        for (E constant : defaultValue.getDeclaringClass().getEnumConstants()) {
            String constantName = constant.name().toLowerCase(Locale.ROOT);
            if (constantName.equals(text)) {
                return constant;
            }
            knownNames.add(constantName);
        }
        addFault(field, "must be one of " + String.join(", ", knownNames) + ", not '" + text + "'");
        return defaultValue;
    }

    /**
     * A server's state, {@code ready} or {@code draining}, that must be there; another text is a fault, and is given.
     */
    public String serverState(String field) {
        String state = string(field);
        if (state != null && !state.equals(READY) && !state.equals(DRAINING)) {
            addFault(field, "must be ready or draining, not " + state);
        }
        return state;
    }

    /** An address such as {@code 10.0.0.1:8080}, or an empty text; the field is required where the default is null. */
    public String address(String field, String defaultValue) {
        String address = string(field, defaultValue);
        if (address != null && !address.isEmpty() && !isAddress(address)) {
            addFault(field, "must be an address such as 10.0.0.1:8080, not '" + address + "'");
        }
        return address;
    }

    /** Whether the text is a host with a port; the host is not looked at. */
    public static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            return false;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return port > 0 && port < PORT_LIMIT;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** A list of texts; numbers and booleans count as texts. A missing list is an empty one. */
    public List<String> strings(String field) {
        List<String> result = new ArrayList<>();
        for (JsonElement element : elements(field)) {
            if (element.isJsonPrimitive()) {
                result.add(element.getAsString());
            } else {
                addFault(field, "must hold texts");
            }
        }
        return result;
    }

    /** Reads a list of objects, one after another; what is not an object is a fault. A missing list is an empty one. */
    public void forEachSection(String field, Consumer<DocumentReader> action) {
        int index = 0;
        for (JsonElement element : elements(field)) {
            String elementPath = path + field + "[" + index++ + "].";
            if (element.isJsonObject()) {
                action.accept(new DocumentReader(element.getAsJsonObject(), elementPath, faults));
            } else {
                faults.add(elementPath + ": must be an object");
            }
        }
    }

    private Iterable<JsonElement> elements(String field) {
        if (!has(field)) {
            return List.of();
        }
        if (!json.get(field).isJsonArray()) {
            addFault(field, "must be a list");
            return List.of();
        }
        return json.getAsJsonArray(field);
    }

    /** Texts by names; empty where the field is missing or no object. */
    public Map<String, String> stringMap(String field) {
        Map<String, String> result = new LinkedHashMap<>();
        if (has(field) && json.get(field).isJsonObject()) {
            json.getAsJsonObject(field)
                    .entrySet()
                    .forEach(
                            entry -> result.put(entry.getKey(), entry.getValue().getAsString()));
        }
        return result;
    }

    /**
     * A reader of an object within this one. Where it is missing, that alone is the fault: what is then read from the
     * reader given adds no more.
     */
    public DocumentReader section(String field) {
        String sectionPath = path + field + ".";
        if (!has(field) || !json.get(field).isJsonObject()) {
            addFault(field, "section is missing");
            return new DocumentReader(new JsonObject(), sectionPath, new ArrayList<>());
        }
        return new DocumentReader(json.getAsJsonObject(field), sectionPath, faults);
    }

    private <T> T reportMissing(String field, T defaultValue) {
        if (defaultValue == null) {
            addFault(field, "is missing");
        }
        return defaultValue;
    }
}
