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
    void whatIsWrittenIsReadAsItWas(@ForAll long seed) {
        Drawn drawn = new Drawn(new Random(seed));
        Message message = drawn.message();
        assertEquals(Drawn.said(message), Drawn.said(MessageCodec.message(MessageCodec.bytes(message))));
        Delta delta = drawn.delta();
        assertEquals(Drawn.said(delta), Drawn.said(MessageCodec.delta(MessageCodec.bytes(delta))));
        Change change = drawn.change();
        assertEquals(Drawn.said(change), Drawn.said(MessageCodec.change(MessageCodec.bytes(change))));
    }

    /** Cut, changed, or drawn whole: read as another message or refused with its place, and nothing else happens. */
    @Property(tries = 3_000)
    void spoiltOnesAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        Drawn drawn = new Drawn(random);
        byte[] bytes = switch (random.nextInt(3)) {
            case 0 -> MessageCodec.bytes(drawn.message());
            case 1 -> MessageCodec.bytes(drawn.delta());
            default -> MessageCodec.bytes(drawn.change());
        };
        int least = random.nextInt(4) == 0 ? 0 : 2;  // mostly behind the version and form, which would hide all else
        switch (random.nextInt(3)) {
            case 0 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1 -> {
                for (int i = 1 + random.nextInt(4); i > 0; i--) {
                    bytes[least + random.nextInt(bytes.length - least)] = (byte) random.nextInt();
                }
            }
            default -> {
                byte[] any = new byte[2 + random.nextInt(300)];
                random.nextBytes(any);
                System.arraycopy(bytes, 0, any, 0, least);
                bytes = any;
            }
        }
        byte[] spoilt = bytes;
        refusedOrRead(() -> MessageCodec.message(spoilt));
        refusedOrRead(() -> MessageCodec.delta(spoilt));
        refusedOrRead(() -> MessageCodec.change(spoilt));
    }

    private static void refusedOrRead(Runnable read) {
        try {
            read.run();
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("expected") && e.getMessage().contains("found"), e.getMessage());
        }
    }

    /** Whatever prefix of a message arrives, it is no message. */
    @Test
    void noPrefixIsRead() {
        Drawn drawn = new Drawn(new Random(1));
        for (int i = 0; i < 60; i++) {
            byte[] bytes = MessageCodec.bytes(drawn.message());
            for (int length = 0; length < bytes.length; length += 1 + length / 50) {
                byte[] cut = Arrays.copyOf(bytes, length);
                assertThrows(IllegalArgumentException.class, () -> MessageCodec.message(cut));
            }
            byte[] more = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(IllegalArgumentException.class, () -> MessageCodec.message(more), "something behind it");
        }
    }

    @Test
    void laterVersionsAndFormsAreRefusedByName() {
        byte[] later = MessageCodec.bytes(new Message.Credit(1));
        later[0] = MessageCodec.VERSION + 1;
        assertEquals("expected messages of version 1 at most, found version 2", assertThrows(MessageCodec.UnsupportedVersionException.class, () -> MessageCodec.message(later)).getMessage());
        byte[] form = MessageCodec.bytes(new Message.Credit(1));
        form[1] = 2;
        assertTrue(refused(form).startsWith("form: expected 0 or 1"));
        assertTrue(refused(new byte[] {1, 0, (byte) 0x82, 11, 0}).startsWith("message.type: expected a whole number from 0 to 10, found 11"), "a message that isn't known");
        byte[] kind = MessageCodec.bytes(new Message.Deltas(List.of(new Delta(1, REVISION, List.of(resource("n", 9)), List.of()))));
        int at = 0;
        while (kind[at + 1] != 0x61 || kind[at + 2] != 'n') {  // a text of one character
            at++;
        }
        kind[at] = (byte) ResourceKind.values().length;
        assertTrue(refused(kind).startsWith("message.deltas[0].delta.upserts[0].resource.kind: expected a whole number from 0 to 3, found 4"), refused(kind));
    }

    private static Resource resource(String name, int bytes) {
        return new Resource(ResourceKind.TENANT, name, 70_000, new byte[bytes]);
    }

    private static String refused(byte[] bytes) {
        return assertThrows(IllegalArgumentException.class, () -> MessageCodec.message(bytes)).getMessage();
    }

    private static String unwritten(Message message) {
        return assertThrows(IllegalArgumentException.class, () -> MessageCodec.bytes(message)).getMessage();
    }

    /** A few bytes that would become many are refused before they do; so is what says less than it holds. */
    @Test
    void aBombIsRefused() {
        byte[] zeros = new byte[MessageCodec.INFLATED_MOST * 16];
        for (int said : new int[] {Integer.MAX_VALUE, -1, MessageCodec.INFLATED_MOST + 1, zeros.length}) {
            assertTrue(refused(deflated(zeros, said)).startsWith("length: expected at most 2097152 bytes when inflated"));
        }
        assertTrue(refused(deflated(zeros, MessageCodec.INFLATED_MOST)).endsWith("found more"));
        assertTrue(refused(deflated(zeros, 0)).endsWith("found more"));
        assertTrue(refused(deflated(new byte[10], 11)).endsWith("found 10"));
        assertTrue(refused(new byte[] {1, 1, 0, 0}).contains("when inflated"));
    }

    private static byte[] deflated(byte[] plain, int said) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(ByteBuffer.allocate(6).put((byte) 1).put((byte) 1).putInt(said).array());
        byte[] part = new byte[8_192];
        while (!deflater.finished()) {
            all.write(part, 0, deflater.deflate(part));
        }
        deflater.end();
        return all.toByteArray();
    }

    /** Small messages that claim to hold much, and many small things, cost no more than their bounds. */
    @Test
    void whatClaimsToBeLargeIsRefused() {
        byte[] claims = {1, 0, (byte) 0x82, 9, (byte) 0x9B, 0, 0, 0, 1, 0, 0, 0, 0};
        refused(claims);
        byte[] text = {1, 0, (byte) 0x82, 0, (byte) 0x7B, 0, 0, 0, 0, 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF};
        refused(text);
        byte[] deep = new byte[400_000];
        Arrays.fill(deep, (byte) 0x81);
        deep[0] = 1;
        deep[1] = 0;
        refused(deep);
        refused(new byte[MessageCodec.BYTES_MOST + 1]);
        List<Message.Shard> shards = new ArrayList<>();
        List<Resource> many = Collections.nCopies(MessageCodec.ITEMS_MOST / 2, resource("n", 0));
        shards.add(new Message.Shard(1, many));
        shards.add(new Message.Shard(2, many));
        assertTrue(refused(MessageCodec.bytes(new Message.SnapshotChunk(REVISION, shards, true))).contains("expected at most 65536 in all, found more"));
    }

    @Test
    void whatIsBeyondABoundIsNotWritten() {
        assertEquals(PeerLinks.MESSAGE_MOST, MessageCodec.BYTES_MOST, "as much as a link carries");
        Random random = new Random(1);
        List<Resource> resources = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            byte[] value = new byte[Resource.MAX_VALUE_BYTES];
            random.nextBytes(value);
            resources.add(new Resource(ResourceKind.HOST, "h" + i, 1, value));
        }
        assertTrue(unwritten(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, resources)), true)).startsWith("a message: expected at most 524288 bytes, found 65"));
        byte[] fits = MessageCodec.bytes(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, resources.subList(0, 31))), true));
        assertTrue(fits.length <= PeerLinks.MESSAGE_MOST);
        List<Resource> alike = Collections.nCopies(200, resource("n", Resource.MAX_VALUE_BYTES));
        assertTrue(unwritten(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(0, alike)), true)).startsWith("a message: expected at most 2097152 bytes before they are deflated"));
        assertTrue(unwritten(new Message.SnapshotChunk(REVISION, List.of(new Message.Shard(1_024, List.of())), true)).startsWith("shard: expected at most 1023, found 1024"));
        assertTrue(unwritten(new Message.Fetch(new long[1_025], 1)).startsWith("digests: expected at most 1024"));
        assertTrue(unwritten(new Message.Nack(REVISION, REVISION, "r".repeat(1_025))).startsWith("reason: expected 0 to 1024 characters, found 1025"));
        assertTrue(unwritten(new Message.Subscribe(REVISION, "\ud800")).contains("expected text in UTF-8"));
        assertTrue(unwritten(new Message.RetryAfter(-1)).startsWith("millis: expected at least 0, found -1"));
        List<Edit> edits = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            edits.add(new Edit.Upsert(ResourceKind.HOST, "h" + i, resources.get(i).value(), Edit.ANY_VERSION));
        }
        assertTrue(assertThrows(IllegalArgumentException.class, () -> MessageCodec.bytes(new Change("id", edits))).getMessage().startsWith("a change: expected at most 65536 bytes"));
        Change most = new Change("id", Collections.nCopies(Change.MAX_EDITS, new Edit.Delete(ResourceKind.HOST, "h", Edit.NOT_PRESENT)));
        assertEquals(most, MessageCodec.change(MessageCodec.bytes(most)));
        Change more = new Change("id", Collections.nCopies(Change.MAX_EDITS + 1, new Edit.Delete(ResourceKind.HOST, "h", Edit.NOT_PRESENT)));
        assertThrows(IllegalArgumentException.class, () -> MessageCodec.bytes(more));
    }

    /** What a small change costs each gateway, so that nobody makes it larger unseen. */
    @Test
    void aDeltaOfOneResourceIsSmall() {
        byte[] route = "{\"order\":10,\"class\":\"web\",\"path\":\"/a/b\",\"pools\":[{\"pool\":\"p-0123\",\"weight\":1.0}]}".getBytes(StandardCharsets.UTF_8);
        Delta delta = new Delta(69_999, REVISION, List.of(new Resource(ResourceKind.ROUTE, "route-01234", 70_000, route)), List.of());
        int envelope = MessageCodec.bytes(new Message.Deltas(List.of(delta))).length - route.length - "route-01234".length();
        assertTrue(envelope <= 48, envelope + " bytes beside the name and value");
    }
}
