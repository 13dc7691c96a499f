package bramblespool.coordination.answer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ResponseArchiveTest {
    private static void assertSame(StoredResponse response) {
        StoredResponse unpacked =
                ResponseArchive.unpack(ResponseArchive.pack(response)).orElseThrow();
        assertEquals(response.statusCode(), unpacked.statusCode());
        assertEquals(response.headers(), unpacked.headers());
        assertArrayEquals(response.body(), unpacked.body());
    }

    @Test
    void responsesComeOutAsTheyWentIn() {
        byte[] random = new byte[64 << 10];
        new Random(3).nextBytes(random);
        assertSame(new StoredResponse(599, List.of("X-Server-Seal", "s", "Name", "väl\u00fc"), random));
        assertSame(new StoredResponse(204, List.of(), new byte[0]));
    }

    @Test
    void repetitiveBodiesAreShortened() {
        String packed = ResponseArchive.pack(
                new StoredResponse(200, List.of(), "order ".repeat(1000).getBytes(StandardCharsets.UTF_8)));
        assertTrue(packed.length() < 200, packed.length() + " characters for 6,000 bytes");
    }

    @Test
    void whatIsNoResponseIsNone() {
        String packed = ResponseArchive.pack(new StoredResponse(200, List.of("a", "b"), new byte[300]));
        assertEquals(Optional.empty(), ResponseArchive.unpack(""));
        assertEquals(Optional.empty(), ResponseArchive.unpack("no response"));
        assertEquals(Optional.empty(), ResponseArchive.unpack(packed.substring(0, packed.length() / 2)));
    }
}
