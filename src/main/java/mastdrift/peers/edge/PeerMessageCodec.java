package mastdrift.peers.edge;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.peers.Digest;
import mastdrift.peers.Member;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipList;
import mastdrift.peers.PeerMessage;
import mastdrift.peers.Update;

/**
 * Encodes messages and digests: a version byte, then a CBOR array (RFC 8949). A message of a later version, or one that
 * is malformed, is rejected as a whole, with an error that says what was expected and found where.
 */
public final class PeerMessageCodec {

    /** Version of the messages that it writes, and the latest that it reads. */
    public static final int VERSION = 1;
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final MemberState[] STATES = MemberState.values();
    private static final int PING = 0;
    private static final int ACK = 1;
    private static final int NACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int SYNC = 4;

    /** The message is of a later version than this build reads. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {

        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(int version) {
            super("expected messages of version " + VERSION + " at most, found version " + version);
        }
    }

    private PeerMessageCodec() { }

    /** Encodes a message. */
    public static byte[] encode(PeerMessage message) {
        List<Object> array = new ArrayList<>();
        if (message instanceof PeerMessage.Ping ping) {
            array.addAll(Arrays.asList(PING, ping.sequence()));
        } else if (message instanceof PeerMessage.Ack ack) {
            array.addAll(Arrays.asList(ACK, ack.sequence()));
        } else if (message instanceof PeerMessage.Nack nack) {
            array.addAll(Arrays.asList(NACK, nack.sequence()));
        } else if (message instanceof PeerMessage.PingRequest request) {
            array.addAll(Arrays.asList(PING_REQUEST, request.sequence(), request.target()));
        } else if (message instanceof PeerMessage.Sync sync) {
            array.addAll(Arrays.asList(SYNC, sync.replyRequested()));
        }
        List<Object> updates = new ArrayList<>();
        message.updates().forEach(update -> updates.add(Arrays.asList(update.member().name(),
                update.member().generation(), update.member().zone(), update.member().build(),
                update.member().settingsFingerprint(), update.incarnation(), update.state().ordinal(),
                update.reporter())));
        array.add(updates);
        return encodeVersioned(array);
    }

    /** Encodes a digest. */
    public static byte[] encode(Digest digest) {
        return encodeVersioned(Arrays.asList(digest.name(), digest.generation(), digest.sequence(),
                digest.outstandingTotal(), digest.outstandingByHost()));
    }

    private static byte[] encodeVersioned(List<?> array) {
        try {
            byte[] body = CBOR.asBytes(array);
            byte[] encoded = new byte[body.length + 1];
            encoded[0] = VERSION;
            System.arraycopy(body, 0, encoded, 1, body.length);
            return encoded;
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // cannot happen for bytes in memory
        }
    }

    private static List<?> decodeArray(byte[] bytes) {
        if (bytes.length == 0) {
            throw new IllegalArgumentException("expected a version, found nothing");
        }
        if (bytes[0] != VERSION) {
            throw new UnsupportedVersionException(bytes[0] & 0xFF);
        }
        Object decoded;
        try {
            decoded = CBOR.anyFrom(Arrays.copyOfRange(bytes, 1, bytes.length));
        } catch (IOException e) {
            throw new IllegalArgumentException("expected CBOR, found " + e.getClass().getSimpleName(), e);
        }
        if (decoded instanceof List<?> array) {
            return array;
        }
        throw unexpected("an array", decoded, "the message");
    }

    /** Decodes a message. Throws IllegalArgumentException if the bytes aren't one. */
    public static PeerMessage decodeMessage(byte[] bytes) {
        List<?> array = decodeArray(bytes);
        int kind = (int) integerAt(array, 0, "kind", PING, SYNC);
        List<Update> updates = decodeUpdates(array, kind == PING_REQUEST ? 3 : 2,
                kind == SYNC ? MembershipList.MAX_GATEWAYS : PeerMessage.MAX_UPDATES);
        if (kind == SYNC) {
            if (itemAt(array, 1, "wanted") instanceof Boolean wanted) {
                return new PeerMessage.Sync(wanted, updates);
            }
            throw unexpected("true or false", array.get(1), "wanted");
        }
        long sequence = integerAt(array, 1, "sequence", Long.MIN_VALUE, Long.MAX_VALUE);
        return switch (kind) {
            case PING -> new PeerMessage.Ping(sequence, updates);
            case ACK -> new PeerMessage.Ack(sequence, updates);
            case NACK -> new PeerMessage.Nack(sequence, updates);
            default -> new PeerMessage.PingRequest(sequence, textAt(array, 2, "target"), updates);
        };
    }

    /** Decodes a digest. Throws IllegalArgumentException if the bytes aren't one. */
    public static Digest decodeDigest(byte[] bytes) {
        List<?> array = decodeArray(bytes);
        Map<String, Integer> outstandingByHost = new HashMap<>();
        if (!(itemAt(array, 4, "out") instanceof Map<?, ?> counts)) {
            throw unexpected("a map", array.get(4), "out");
        }
        if (counts.size() > Digest.MAX_HOSTS) {
            throw new IllegalArgumentException("out: expected at most " + Digest.MAX_HOSTS + " hosts, found "
                    + counts.size());
        }
        counts.forEach((host, count) -> {
            if (!(host instanceof String name) || !(count instanceof Integer number)) {
                throw unexpected("integers by host", count, "out");
            }
            outstandingByHost.put(name, number);
        });
        return new Digest(textAt(array, 0, "name"), integerAt(array, 1, "generation", 0, Long.MAX_VALUE),
                integerAt(array, 2, "sequence", 0, Long.MAX_VALUE), outstandingByHost,
                (int) integerAt(array, 3, "total", Integer.MIN_VALUE, Integer.MAX_VALUE));
    }

    private static List<Update> decodeUpdates(List<?> array, int index, int maxUpdates) {
        if (!(itemAt(array, index, "updates") instanceof List<?> listed)) {
            throw unexpected("an array", array.get(index), "updates");
        }
        if (listed.size() > maxUpdates) {
            throw new IllegalArgumentException("updates: expected at most " + maxUpdates + ", found " + listed.size());
        }
        List<Update> updates = new ArrayList<>();
        for (Object each : listed) {
            if (!(each instanceof List<?> fields)) {
                throw unexpected("an array", each, "updates[" + updates.size() + "]");
            }
            Member member = new Member(textAt(fields, 0, "name"),
                    integerAt(fields, 1, "generation", 0, Long.MAX_VALUE - 1), textAt(fields, 2, "zone"),
                    textAt(fields, 3, "build"), textAt(fields, 4, "settings"));
            updates.add(new Update(member, integerAt(fields, 5, "incarnation", 0, Long.MAX_VALUE - 1),
                    STATES[(int) integerAt(fields, 6, "state", 0, STATES.length - 1)], textAt(fields, 7, "by")));
        }
        return updates;
    }

    private static Object itemAt(List<?> array, int index, String field) {
        if (index >= array.size()) {
            throw new IllegalArgumentException(field + ": expected " + (index + 1) + " items, found " + array.size());
        }
        return array.get(index);
    }

    private static long integerAt(List<?> array, int index, String field, long min, long max) {
        Object item = itemAt(array, index, field);
        if ((item instanceof Integer || item instanceof Long) && ((Number) item).longValue() >= min
                && ((Number) item).longValue() <= max) {
            return ((Number) item).longValue();
        }
        throw unexpected("a whole number from " + min + " to " + max, item, field);
    }

    private static String textAt(List<?> array, int index, String field) {
        Object item = itemAt(array, index, field);
        if (item instanceof String text && text.length() <= Member.MAX_TEXT_CHARS) {
            return text;
        }
        throw unexpected("a string of at most " + Member.MAX_TEXT_CHARS + " characters", item, field);
    }

    private static IllegalArgumentException unexpected(String expectation, Object found, String field) {
        String shown = String.valueOf(found);
        return new IllegalArgumentException(field + ": expected " + expectation + ", found "
                + (shown.length() > 40 ? shown.substring(0, 40) + "..." : shown));
    }
}
