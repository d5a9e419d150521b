package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Message.ZoneSummary;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ControlCodecTest {

    private static final Revision REVISION = new Revision(2, 7, -3, Long.MAX_VALUE);

    private static List<ControlMessage> sampleMessages() {
        List<ZoneSummary> zones = IntStream.range(0, 64).mapToObj(i -> new ZoneSummary("zone-" + i, i, i == 0 ? null : REVISION, 1, List.of("gateway-1", "gateway-2"))).toList();
        return List.of(new ControlMessage.Apply(1, new Change("id", List.of(new Edit.Delete(ResourceKind.ROUTE, "a", Edit.ANY_VERSION)))), new ControlMessage.Get(2, ResourceKind.HOST, "h"),
                new ControlMessage.GetStatus(3), new ControlMessage.Applied(4, REVISION), new ControlMessage.Applied(5, null), new ControlMessage.Conflicted(6, "why"),
                new ControlMessage.Refused(7, List.of("one", "two")), new ControlMessage.Unknown(8, ""), new ControlMessage.AskVoter(9, "a voter"), new ControlMessage.Found(10, REVISION, null),
                new ControlMessage.Found(11, REVISION, new Resource(ResourceKind.TENANT, "t", 5, "{}".getBytes(StandardCharsets.UTF_8))),
                new ControlMessage.Status(12, REVISION, "relay", "control-1", 342, 0, zones));
    }

    @Test
    void decodingRestoresEveryMessage() {
        for (ControlMessage each : sampleMessages()) {
            assertEquals(each, ControlCodec.decode(ControlCodec.encode(each)));
        }
        byte[] value = new byte[] {'{', '}'};
        ControlMessage.Apply apply = new ControlMessage.Apply(1, new Change("id", List.of(new Edit.Upsert(ResourceKind.ROUTE, "a", value, 3))));
        Edit.Upsert read = (Edit.Upsert) ((ControlMessage.Apply) ControlCodec.decode(ControlCodec.encode(apply))).change().edits().get(0);
        assertEquals("a 3", read.name() + " " + read.expectedVersion());
        assertArrayEquals(value, read.value());
    }

    @Test
    void humanReadableTextsAreTruncated() {
        List<String> many = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            many.add("x".repeat(5_000));
        }
        ControlMessage.Refused read = (ControlMessage.Refused) ControlCodec.decode(ControlCodec.encode(new ControlMessage.Refused(1, many)));
        assertEquals(ControlMessage.MAX_PROBLEMS, read.problems().size());
        assertEquals(ControlMessage.MAX_TEXT_CHARS, read.problems().get(0).length());
    }

    @Test
    void laterVersionAndWrongLengthAreRefusedWithReason() {
        byte[] later = ControlCodec.encode(new ControlMessage.GetStatus(3));
        later[0] = 9;
        assertTrue(assertThrows(IllegalArgumentException.class, () -> ControlCodec.decode(later)).getMessage().contains("found version 9"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> ControlCodec.decode(new byte[0])).getMessage().contains("expected 2 to"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> ControlCodec.decode(new byte[ControlCodec.MAX_MESSAGE_BYTES + 1])).getMessage().contains("expected 2 to"));
    }

    /** Arbitrary corruption: the message is decoded or refused with a reason, and no other exception is thrown. */
    @Property(tries = 2_000)
    void corruptBytesAreDecodedOrRefusedWithReason(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = ControlCodec.encode(sampleMessages().get(random.nextInt(sampleMessages().size())));
        for (int i = random.nextInt(4); i >= 0; i--) {
            bytes[1 + random.nextInt(bytes.length - 1)] = (byte) random.nextInt(256);
        }
        try {
            ControlCodec.decode(bytes);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage() != null && !e.getMessage().isEmpty());
        }
    }
}
