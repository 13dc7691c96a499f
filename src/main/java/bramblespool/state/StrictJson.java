package bramblespool.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Reads documents that come from outside. What is not quite JSON is rejected: a lenient reader would use a document
 * that nobody has sent.
 */
public final class StrictJson {
    private StrictJson() {}

    /**
     * Parses a whole document that must be UTF-8 and hold one JSON object.
     *
     * @throws InvalidConfigurationException where it is anything else
     */
    public static JsonObject parseObject(byte[] document) throws InvalidConfigurationException {
        try {
            return parseObject(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(document))
                    .toString());
        } catch (CharacterCodingException e) {
            throw new InvalidConfigurationException(List.of("cannot be read whole as UTF-8"));
        }
    }

    /**
     * Parses a whole document that must hold one JSON object.
     *
     * @throws InvalidConfigurationException where it is anything else
     */
    public static JsonObject parseObject(String document) throws InvalidConfigurationException {
        JsonElement json;
        try (JsonReader reader = new JsonReader(new StringReader(document))) {
            reader.setStrictness(Strictness.STRICT);
            json = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new InvalidConfigurationException(List.of("holds more than one JSON value"));
            }
        } catch (JsonParseException | IOException | StackOverflowError e) {
            // The reader recurses: a document that nests too deep ends in a StackOverflowError.
            throw new InvalidConfigurationException(List.of("cannot be read whole as JSON"));
        }
        if (!json.isJsonObject()) {
            throw new InvalidConfigurationException(List.of("is not a JSON object"));
        }
        return json.getAsJsonObject();
    }
}
