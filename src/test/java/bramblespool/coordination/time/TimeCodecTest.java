package bramblespool.coordination.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class TimeCodecTest {
    private static JsonNode parse(String json) throws JsonProcessingException {
        return new ObjectMapper().readTree(json);
    }

    @Test
    void timeIsANumberOrMissing() throws JsonProcessingException {
        assertEquals("{\"wall\":1234}", TimeCodec.encodeTime(1234).toString());
        assertEquals(OptionalLong.of(1234), TimeCodec.decodeTime(TimeCodec.encodeTime(1234)));
        assertEquals(OptionalLong.empty(), TimeCodec.decodeTime(parse("{\"wall\":\"noon\"}")));
        assertEquals(OptionalLong.empty(), TimeCodec.decodeTime(parse("{}")));
    }
}
