package bramblespool.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A change of a configuration that names only the items it adds, replaces or removes; all else stays as it is. */
final class ConfigurationAmendment {
    private static final String UPSERT = "upsert";
    private static final String REMOVE = "remove";
    private static final String ITEM_NAME = "name";

    private final JsonObject amendment;
    private final List<String> faults = new ArrayList<>();

    private ConfigurationAmendment(JsonObject amendment) {
        this.amendment = amendment;
    }

    /**
     * Changes a document. It is changed in place and only as far as it is sound: after an exception it is of no use.
     *
     * @param document the current configuration, fields unknown to this program included
     * @return the document, changed
     * @throws InvalidConfigurationException where the amendment has a fault
     */
    static JsonObject apply(JsonObject document, JsonObject amendment) throws InvalidConfigurationException {
        return new ConfigurationAmendment(amendment).applyTo(document);
    }

    private JsonObject applyTo(JsonObject document) throws InvalidConfigurationException {
        JsonObject upsert = readSection(UPSERT);
        JsonObject remove = readSection(REMOVE);
        Set<String> tables = new LinkedHashSet<>(upsert.keySet());
        tables.addAll(remove.keySet());
        for (String table : tables) {
            if (ColumnTable.isPresent(document, table)) {
                amendTable(document, table, upsert, remove);
            } else {
                faults.add(table + ": no such list");
            }
        }
        if (amendment.has(RoutingConfigurationParser.LIMITS)) {
            document.add(RoutingConfigurationParser.LIMITS, amendment.get(RoutingConfigurationParser.LIMITS));
        }
        document.add(RoutingConfigurationParser.EPOCH, amendment.get(RoutingConfigurationParser.EPOCH));
        document.remove(RoutingConfigurationParser.BASE_VERSION);
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return document;
    }

    private void amendTable(JsonObject document, String table, JsonObject upsert, JsonObject remove) {
        Map<String, JsonObject> itemsByName = new LinkedHashMap<>();
        for (JsonObject item : ColumnTable.readItems(document, table, faults)) {
            itemsByName.put(readName(item, table), item);
        }
        if (remove.has(table)) {
            if (remove.get(table).isJsonArray()) {
                remove.getAsJsonArray(table).forEach(name -> itemsByName.remove(name.getAsString()));
            } else {
                faults.add("remove." + table + ": must be a list of names");
            }
        }
        if (upsert.has(table)) {
            for (JsonObject item : ColumnTable.readItems(upsert, table, faults)) {
                itemsByName.put(readName(item, table), item);
            }
        }
        ColumnTable.replaceItems(document, table, itemsByName.values());
    }

    private JsonObject readSection(String field) {
        if (!amendment.has(field) || amendment.get(field).isJsonNull()) {
            return new JsonObject();
        }
        if (!amendment.get(field).isJsonObject()) {
            faults.add(field + ": must be an object");
            return new JsonObject();
        }
        return amendment.getAsJsonObject(field);
    }

    private String readName(JsonObject item, String table) {
        JsonElement name = item.get(ITEM_NAME);
        if (name == null || !name.isJsonPrimitive()) {
            faults.add(table + ": an item has no name");
            return "";
        }
        return name.getAsString();
    }
}
