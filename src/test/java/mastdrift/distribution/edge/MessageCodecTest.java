package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.zip.Deflater;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Message;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.peers.edge.PeerLinks;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class MessageCodecTest {

    private static final Revision REVISION = new Revision(3, 70_000, 0x123456789ABCDEFL, -5);

    @Property(tries = 1_000)
    void decodingRestoresMessagesDeltasAndChanges(@ForAll long seed) {
        RandomMessages messages = new RandomMessages(new Random(seed));
        Message message = messages.message();
        assertEquals(RandomMessages.describe(message), RandomMessages.describe(MessageCodec.decodeMessage(MessageCodec.encode(message))));
        Delta delta = messages.delta();
        assertEquals(RandomMessages.describe(delta), RandomMessages.describe(MessageCodec.decodeDelta(MessageCodec.encode(delta))));
        Change change = messages.change();
        assertEquals(RandomMessages.describe(change), RandomMessages.describe(MessageCodec.decodeChange(MessageCodec.encode(change))));
    }

    /**
     * Truncated, corrupted or random input: it is decoded as another message or refused with the path of the field, and
     * no other exception is thrown.
     */
    @Property(tries = 3_000)
    void corruptBytesAreDecodedOrRefusedWithReason(@ForAll long seed) {
        Random random = new Random(seed);
        RandomMessages messages = new RandomMessages(random);
        byte[] bytes = switch (random.nextInt(3)) {
            case 0 -> MessageCodec.encode(messages.message());
            case 1 -> MessageCodec.encode(messages.delta());
            default -> MessageCodec.encode(messages.change());
        };
        // mostly after the version and form bytes, an error in which would hide all others
        int firstByte = random.nextInt(4) == 0 ? 0 : 2;
        switch (random.nextInt(3)) {
            case 0 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1 -> {
                for (int i = 1 + random.nextInt(4); i > 0; i--) {
                    bytes[firstByte + random.nextInt(bytes.length - firstByte)] = (byte) random.nextInt();
                }
            }
            default -> {
                byte[] randomBytes = new byte[2 + random.nextInt(300)];
                random.nextBytes(randomBytes);
                System.arraycopy(bytes, 0, randomBytes, 0, firstByte);
                bytes = randomBytes;
            }
        }
        byte[] corrupt = bytes;
        assertDecodedOrRefused(() -> MessageCodec.decodeMessage(corrupt));
        assertDecodedOrRefused(() -> MessageCodec.decodeDelta(corrupt));
        assertDecodedOrRefused(() -> MessageCodec.decodeChange(corrupt));
    }

    private static void assertDecodedOrRefused(Runnable read) {
        try {
            read.run();
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    /** A message that is truncated (at a sample of lengths) or extended by a byte is refused. */
    @Test
    void truncatedAndExtendedMessagesAreRefused() {
        RandomMessages messages = new RandomMessages(new Random(1));
        for (int i = 0; i < 60; i++) {
            byte[] bytes = MessageCodec.encode(messages.message());
            for (int length = 0; length < bytes.length; length += 1 + length / 50) {
                byte[] cut = Arrays.copyOf(bytes, length);
                assertThrows(IllegalArgumentException.class, () -> MessageCodec.decodeMessage(cut));
            }
            byte[] extended = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(IllegalArgumentException.class, () -> MessageCodec.decodeMessage(extended), "a byte after the message");
        }
    }

    @Test
    void unknownVersionsFormsTypesAndKindsAreRefusedWithReason() {
        byte[] later = MessageCodec.encode(new Message.Credit(1));
        later[0] = MessageCodec.VERSION + 1;
        assertEquals("expected messages of version 1 at most, found version 2", assertThrows(MessageCodec.UnsupportedVersionException.class, () -> MessageCodec.decodeMessage(later)).getMessage());
        byte[] form = MessageCodec.encode(new Message.Credit(1));
        form[1] = 2;
        assertTrue(refusalOf(form).startsWith("form: expected 0 or 1"));
        assertTrue(refusalOf(new byte[] {1, 0, (byte) 0x82, 11, 0}).startsWith("message.type: expected a whole number from 0 to 10, found 11"), "an unknown message type");
        byte[] kind = MessageCodec.encode(new Message.Deltas(List.of(new Delta(1, REVISION, List.of(resource("n", 9)), List.of()))));
        int at = 0;
        while (kind[at + 1] != 0x61 || kind[at + 2] != 'n') {  // a string of one character
            at++;
        }
        kind[at] = (byte) ResourceKind.values().length;
        assertTrue(refusalOf(kind).startsWith("message.deltas[0].delta.upserts[0].resource.kind: expected a whole number from 0 to 3, found 4"), refusalOf(kind));
    }

    private static Resource resource(String name, int bytes) {
        return new Resource(ResourceKind.TENANT, name, 70_000, new byte[bytes]);
    }

    private static String refusalOf(byte[] bytes) {
        return assertThrows(IllegalArgumentException.class, () -> MessageCodec.decodeMessage(bytes)).getMessage();
    }

    private static String encodingErrorOf(Message message) {
        return assertThrows(IllegalArgumentException.class, () -> MessageCodec.encode(message)).getMessage();
    }

    /**
     * Decompression bombs are refused before they are inflated beyond the limit; so is a body that inflates to more or
     * less than its stated length.
     */
    @Test
    void decompressionBombsAreRefused() {
        byte[] zeros = new byte[MessageCodec.MAX_INFLATED_BYTES * 16];
        for (int statedLength : new int[] {Integer.MAX_VALUE, -1, MessageCodec.MAX_INFLATED_BYTES + 1, zeros.length}) {
            assertTrue(refusalOf(deflated(zeros, statedLength)).startsWith("length: expected at most 2097152 bytes when inflated"));
        }
        assertTrue(refusalOf(deflated(zeros, MessageCodec.MAX_INFLATED_BYTES)).endsWith("found more"));
        assertTrue(refusalOf(deflated(zeros, 0)).endsWith("found more"));
        assertTrue(refusalOf(deflated(new byte[10], 11)).endsWith("found 10"));
        assertTrue(refusalOf(new byte[] {1, 1, 0, 0}).contains("when inflated"));
    }

    private static byte[] deflated(byte[] plain, int statedLength) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(ByteBuffer.allocate(6).put((byte) 1).put((byte) 1).putInt(statedLength).array());
        byte[] part = new byte[8_192];
        while (!deflater.finished()) {
            all.write(part, 0, deflater.deflate(part));
        }
        deflater.end();
        return all.toByteArray();
    }

    /** Small messages that claim to be large, and messages of very many small items, are refused at their limits. */
    @Test
    void messagesThatClaimToBeLargeAreRefused() {
        byte[] claims = {1, 0, (byte) 0x82, 9, (byte) 0x9B, 0, 0, 0, 1, 0, 0, 0, 0};
        refusalOf(claims);
        byte[] text = {1, 0, (byte) 0x82, 0, (byte) 0x7B, 0, 0, 0, 0, 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF};
        refusalOf(text);
        byte[] deep = new byte[400_000];
        Arrays.fill(deep, (byte) 0x81);
        deep[0] = 1;
        deep[1] = 0;
        refusalOf(deep);
        refusalOf(new byte[MessageCodec.MAX_ENCODED_BYTES + 1]);
        List<Message.Shard> shards = new ArrayList<>();
        List<Resource> many = Collections.nCopies(MessageCodec.MAX_ITEMS / 2, resource("n", 0));
        shards.add(new Message.Shard(1, many));
        shards.add(new Message.Shard(2, many));
        assertTrue(refusalOf(MessageCodec.encode(new Message.SnapshotChunk(REVISION, shards, true))).contains("expected at most 65536 in all, found more"));
    }

    @Test
    void encodingRefusesValuesBeyondTheLimits() {
        assertEquals(PeerLinks.MAX_MESSAGE_BYTES, MessageCodec.MAX_ENCODED_BYTES, "as much as a link carries");
        Random random = new Random(1);
        List<Resource> resources = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            byte[] value = new byte[Resource.MAX_VALUE_BYTES];
            random.nextBytes(value);
            resources.add(new Resource(ResourceKind.HOST, "h" + i, 1, value));
        }
        assertTrue(encodingErrorOf(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, resources)), true)).startsWith("a message: expected at most 524288 bytes, found 65"));
        byte[] fits = MessageCodec.encode(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, resources.subList(0, 31))), true));
        assertTrue(fits.length <= PeerLinks.MAX_MESSAGE_BYTES);
        List<Resource> alike = Collections.nCopies(200, resource("n", Resource.MAX_VALUE_BYTES));
        assertTrue(encodingErrorOf(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, alike)), true)).startsWith("a message: expected at most 2097152 bytes before they are deflated"));
        assertTrue(encodingErrorOf(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(1_024, List.of())), true)).startsWith("shard: expected at most 1023, found 1024"));
        assertTrue(encodingErrorOf(new Message.Fetch(new long[1_025], 1)).startsWith("digests: expected at most 1024"));
        assertTrue(encodingErrorOf(new Message.Nack(REVISION, REVISION, "r".repeat(1_025))).startsWith("reason: expected 0 to 1024 characters, found 1025"));
        assertTrue(encodingErrorOf(new Message.Subscribe(REVISION, "\ud800")).contains("expected text in UTF-8"));
        assertTrue(encodingErrorOf(new Message.RetryAfter(-1)).startsWith("millis: expected at least 0, found -1"));
        List<Edit> edits = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            edits.add(new Edit.Upsert(ResourceKind.HOST, "h" + i, resources.get(i).value(), Edit.ANY_VERSION));
        }
        assertTrue(assertThrows(IllegalArgumentException.class, () -> MessageCodec.encode(new Change("id", edits))).getMessage().startsWith("a change: expected at most 65536 bytes"));
        Change most = new Change("id", Collections.nCopies(Change.MAX_EDITS, new Edit.Delete(ResourceKind.HOST, "h", Edit.NOT_PRESENT)));
        assertEquals(most, MessageCodec.decodeChange(MessageCodec.encode(most)));
        Change more = new Change("id", Collections.nCopies(Change.MAX_EDITS + 1, new Edit.Delete(ResourceKind.HOST, "h", Edit.NOT_PRESENT)));
        assertThrows(IllegalArgumentException.class, () -> MessageCodec.encode(more));
    }

    /** Guards the encoding overhead of a small change, which each gateway receives, against unnoticed growth. */
    @Test
    void deltaOfOneResourceHasSmallOverhead() {
        byte[] route = "{\"order\":10,\"class\":\"web\",\"path\":\"/a/b\",\"pools\":[{\"pool\":\"p-0123\",\"weight\":1.0}]}".getBytes(StandardCharsets.UTF_8);
        Delta delta = new Delta(69_999, REVISION, List.of(new Resource(ResourceKind.ROUTE, "route-01234", 70_000, route)), List.of());
        int envelope = MessageCodec.encode(new Message.Deltas(List.of(delta))).length - route.length - "route-01234".length();
        assertTrue(envelope <= 48, envelope + " bytes beside the name and value");
    }
}
