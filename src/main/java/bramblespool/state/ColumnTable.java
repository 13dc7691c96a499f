package bramblespool.state;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The form that tables of a configuration document have: the names of the columns once, then each item as a row of
 * values.
 */
final class ColumnTable {
    private static final String COLUMNS = "columns";
    private static final String ROWS = "rows";

    private ColumnTable() {}

    /** Whether the document holds something under this name that has rows. */
    static boolean isPresent(JsonObject document, String table) {
        return document.has(table)
                && document.get(table).isJsonObject()
                && document.getAsJsonObject(table).has(ROWS);
    }

    /** The items of a table, each as an object with the columns' names. A row with a fault is left out. */
    static List<JsonObject> readItems(JsonObject document, String table, List<String> faults) {
        List<JsonObject> items = new ArrayList<>();
        if (!(document.get(table) instanceof JsonObject tableObject)
                || !(tableObject.get(COLUMNS) instanceof JsonArray columns)
                || !(tableObject.get(ROWS) instanceof JsonArray rows)) {
            faults.add(table + ": must hold columns and rows");
            return items;
        }
        for (JsonElement row : rows) {
            if (!(row instanceof JsonArray values) || values.size() != columns.size()) {
                faults.add(table + "[" + items.size() + "]: has not one value for each column");
                continue;
            }
            JsonObject item = new JsonObject();
            for (int i = 0; i < columns.size(); i++) {
                item.add(columns.get(i).getAsString(), values.get(i));
            }
            items.add(item);
        }
        return items;
    }

    /** Readers of the items of a table; what they find at fault is added to the list with the item's place. */
    static List<DocumentReader> readers(JsonObject document, String table, List<String> faults) {
        List<DocumentReader> readers = new ArrayList<>();
        List<JsonObject> items = readItems(document, table, faults);
        for (int i = 0; i < items.size(); i++) {
            readers.add(new DocumentReader(items.get(i), table + "[" + i + "].", faults));
        }
        return readers;
    }

    /**
     * Puts items in place of those that the document's table has. The table keeps its columns, and gets more for fields
     * that these don't cover.
     */
    static void replaceItems(JsonObject document, String table, Iterable<JsonObject> items) {
        Set<String> columns = new LinkedHashSet<>();
        document.getAsJsonObject(table).getAsJsonArray(COLUMNS).forEach(column -> columns.add(column.getAsString()));
        items.forEach(item -> columns.addAll(item.keySet()));
        JsonArray columnArray = new JsonArray();
        columns.forEach(columnArray::add);
        JsonArray rows = new JsonArray();
        for (JsonObject item : items) {
            JsonArray row = new JsonArray();
            for (String column : columns) {
                row.add(item.has(column) ? item.get(column) : JsonNull.INSTANCE);
            }
            rows.add(row);
        }
        JsonObject newTable = new JsonObject();
        newTable.add(COLUMNS, columnArray);
        newTable.add(ROWS, rows);
        document.add(table, newTable);
    }
}
