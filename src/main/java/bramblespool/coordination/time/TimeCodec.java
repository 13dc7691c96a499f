package bramblespool.coordination.time;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;

/** JSON of the question for a controller's time of day; kind and field are those of version 0.4.0. */
public final class TimeCodec {
    /** Kind of the question for a controller's time of day. */
    public static final String KIND = "time";

    private static final String WALL_TIME = "wall";

    private TimeCodec() {}

    static ObjectNode encodeRequest() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Writes a controller's time of day in milliseconds since the epoch. */
    public static ObjectNode encodeTime(long wallTimeMs) {
        return JsonNodeFactory.instance.objectNode().put(WALL_TIME, wallTimeMs);
    }

    /** A controller's time of day; empty where the answer names none. */
    public static OptionalLong decodeTime(JsonNode node) {
        return node.path(WALL_TIME).isNumber()
                ? OptionalLong.of(node.path(WALL_TIME).asLong())
                : OptionalLong.empty();
    }
}
