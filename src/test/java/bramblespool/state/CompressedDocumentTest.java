package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.SimulatedMesh;
import org.junit.jupiter.api.Test;

/** The compressed form of documents. */
class CompressedDocumentTest {
    @Test
    void compressedDocumentRoundTripsAndCorruptOneIsRejected() throws Exception {
        String document = SimulatedMesh.document(5, 0, "p\u017eilina").repeat(200);
        String packed = CompressedDocument.compress(document);
        assertTrue(packed.length() < document.length() / 4);
        assertEquals(document, CompressedDocument.decompress(packed));
        assertThrows(
                InvalidConfigurationException.class,
                () -> CompressedDocument.decompress(packed.substring(0, packed.length() / 2)));
        assertThrows(InvalidConfigurationException.class, () -> CompressedDocument.decompress("no such thing!"));
    }
}
