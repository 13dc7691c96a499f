package bramblespool.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checked reading of a JSON tree: every fault is noted with its place, none is thrown before all are known. */
public final class DocumentReader {
    private final JsonObject json;
    private final String path;
    private final List<String> faults;

    public DocumentReader(JsonObject json, String path, List<String> faults) {
        this.json = json;
        this.path = path;
        this.faults = faults;
    }

    /** Reads {@code 1500ms} or {@code 2.5s}; -1 where the text is no time. */
    public static long parseDurationMs(String text) {
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

    public void addFault(String field, String message) {
        faults.add(path + field + ": " + message);
    }

    public boolean has(String field) {
        return json.has(field) && !json.get(field).isJsonNull();
    }

    public String string(String field) {
        return string(field, null);
    }

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

    public long wholeNumber(String field, Long defaultValue) {
        double value = number(field, defaultValue == null ? null : (double) defaultValue);
        if (value != Math.rint(value)) {
            addFault(field, "must be a whole number");
        }
        return (long) value;
    }

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

    public long durationMs(String field, String defaultValue) {
        String text = string(field, defaultValue);
        if (text == null) {
            return 0;
        }
        long durationMs = parseDurationMs(text);
        if (durationMs < 0) {
            addFault(field, "must be a time such as 1500ms or 2.5s, not '" + text + "'");
            return 0;
        }
        return durationMs;
    }

    /** One of the words of an enumeration, in small letters. */
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

    /** A server's state: ready or draining. */
    public String serverState(String field) {
        String state = string(field);
        if (state != null && !state.equals("ready") && !state.equals("draining")) {
            addFault(field, "must be ready or draining, not " + state);
        }
        return state;
    }

    /** An IPv4 address and port. */
    public String address(String field, String defaultValue) {
        String address = string(field, defaultValue);
        if (address != null && !address.isEmpty() && !isAddress(address)) {
            addFault(field, "must be an address such as 10.0.0.1:8080, not '" + address + "'");
        }
        return address;
    }

    public static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            return false;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return port > 0 && port < 65536;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    public List<String> strings(String field) {
        List<String> result = new ArrayList<>();
        if (!has(field)) {
            return result;
        }
        if (!json.get(field).isJsonArray()) {
            addFault(field, "must be a list");
            return result;
        }
        for (JsonElement element : json.getAsJsonArray(field)) {
            if (element.isJsonPrimitive()) {
                result.add(element.getAsString());
            } else {
                addFault(field, "must hold texts");
            }
        }
        return result;
    }

    public List<WeightedTarget> weightedTargets(String field) {
        List<WeightedTarget> result = new ArrayList<>();
        if (!has(field)) {
            return result;
        }
        if (!json.get(field).isJsonArray()) {
            addFault(field, "must be a list");
            return result;
        }
        int index = 0;
        for (JsonElement element : json.getAsJsonArray(field)) {
            String elementPath = path + field + "[" + index++ + "].";
            if (element.isJsonObject()) {
                DocumentReader reader = new DocumentReader(element.getAsJsonObject(), elementPath, faults);
                result.add(new WeightedTarget(reader.string("target", ""), reader.number("share", null)));
            } else {
                faults.add(elementPath + ": must be an object");
            }
        }
        return result;
    }

    public Map<String, String> stringMap(String field) {
        Map<String, String> result = new LinkedHashMap<>();
        if (has(field) && json.get(field).isJsonObject()) {
            json.getAsJsonObject(field)
                    .entrySet()
                    .forEach(e -> result.put(e.getKey(), e.getValue().getAsString()));
        }
        return result;
    }

    public DocumentReader section(String field) {
        if (!has(field) || !json.get(field).isJsonObject()) {
            addFault(field, "section is missing");
            return new DocumentReader(new JsonObject(), path + field + ".", new ArrayList<>());
        }
        return new DocumentReader(json.getAsJsonObject(field), path + field + ".", faults);
    }

    private <T> T reportMissing(String field, T defaultValue) {
        if (defaultValue == null) {
            addFault(field, "is missing");
        }
        return defaultValue;
    }
}
