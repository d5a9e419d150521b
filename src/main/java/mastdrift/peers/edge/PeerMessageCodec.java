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

/** Messages and digests as bytes: a version, then an array in CBOR (RFC 8949). A message of a later version, or one that is not well-formed, is refused whole,
    with what was expected and found where. */
public final class PeerMessageCodec {

    /** Of the messages that it writes, and the latest that it reads. */
    public static final int VERSION = 1;
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final MemberState[] STATES = MemberState.values();
    private static final int PING = 0;
    private static final int ACK = 1;
    private static final int NACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int SYNC = 4;

    /** A message by a build that says things this one doesn't know. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {

        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(int version) {
            super("expected messages of version " + VERSION + " at most, found version " + version);
        }
    }

    private PeerMessageCodec() { }

    /** A message as bytes. */
    public static byte[] bytes(PeerMessage message) {
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
            array.addAll(Arrays.asList(SYNC, sync.wanted()));
        }
        List<Object> updates = new ArrayList<>();
        message.updates().forEach(update -> updates.add(Arrays.asList(update.member().name(), update.member().generation(), update.member().zone(), update.member().build(),
                update.member().settings(), update.incarnation(), update.state().ordinal(), update.by())));
        array.add(updates);
        return versioned(array);
    }

    /** A digest as bytes. */
    public static byte[] bytes(Digest digest) {
        return versioned(Arrays.asList(digest.name(), digest.generation(), digest.sequence(), digest.outstandingTotal(), digest.outstandingByHost()));
    }

    private static byte[] versioned(List<?> array) {
        try {
            byte[] body = CBOR.asBytes(array);
            byte[] all = new byte[body.length + 1];
            all[0] = VERSION;
            System.arraycopy(body, 0, all, 1, body.length);
            return all;
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // of bytes in memory
        }
    }

    private static List<?> array(byte[] bytes) {
        if (bytes.length == 0) {
            throw new IllegalArgumentException("expected a version, found nothing");
        }
        if (bytes[0] != VERSION) {
            throw new UnsupportedVersionException(bytes[0] & 0xFF);
        }
        Object read;
        try {
            read = CBOR.anyFrom(Arrays.copyOfRange(bytes, 1, bytes.length));
        } catch (IOException e) {
            throw new IllegalArgumentException("expected CBOR, found " + e.getClass().getSimpleName(), e);
        }
        if (read instanceof List<?> array) {
            return array;
        }
        throw expected("an array", read, "the message");
    }

    /** Throws IllegalArgumentException for what is none. */
    public static PeerMessage message(byte[] bytes) {
        List<?> array = array(bytes);
        int kind = (int) whole(array, 0, "kind", PING, SYNC);
        List<Update> updates = updates(array, kind == PING_REQUEST ? 3 : 2, kind == SYNC ? MembershipList.GATEWAYS_MOST : PeerMessage.UPDATES_MOST);
        if (kind == SYNC) {
            if (item(array, 1, "wanted") instanceof Boolean wanted) {
                return new PeerMessage.Sync(wanted, updates);
            }
            throw expected("true or false", array.get(1), "wanted");
        }
        long sequence = whole(array, 1, "sequence", Long.MIN_VALUE, Long.MAX_VALUE);
        return switch (kind) {
            case PING -> new PeerMessage.Ping(sequence, updates);
            case ACK -> new PeerMessage.Ack(sequence, updates);
            case NACK -> new PeerMessage.Nack(sequence, updates);
            default -> new PeerMessage.PingRequest(sequence, text(array, 2, "target"), updates);
        };
    }

    /** Throws IllegalArgumentException for what is none. */
    public static Digest digest(byte[] bytes) {
        List<?> array = array(bytes);
        Map<String, Integer> out = new HashMap<>();
        if (!(item(array, 4, "out") instanceof Map<?, ?> told)) {
            throw expected("a table", array.get(4), "out");
        }
        if (told.size() > Digest.MAX_HOSTS) {
            throw new IllegalArgumentException("out: expected at most " + Digest.MAX_HOSTS + " hosts, found " + told.size());
        }
        told.forEach((host, count) -> {
            if (!(host instanceof String name) || !(count instanceof Integer number)) {
                throw expected("numbers by host", count, "out");
            }
            out.put(name, number);
        });
        return new Digest(text(array, 0, "name"), whole(array, 1, "generation", 0, Long.MAX_VALUE), whole(array, 2, "sequence", 0, Long.MAX_VALUE), out,
                (int) whole(array, 3, "total", Integer.MIN_VALUE, Integer.MAX_VALUE));
    }

    private static List<Update> updates(List<?> array, int at, int most) {
        if (!(item(array, at, "updates") instanceof List<?> listed)) {
            throw expected("an array", array.get(at), "updates");
        }
        if (listed.size() > most) {
            throw new IllegalArgumentException("updates: expected at most " + most + ", found " + listed.size());
        }
        List<Update> updates = new ArrayList<>();
        for (Object each : listed) {
            if (!(each instanceof List<?> of)) {
                throw expected("an array", each, "updates[" + updates.size() + "]");
            }
            Member member = new Member(text(of, 0, "name"), whole(of, 1, "generation", 0, Long.MAX_VALUE - 1), text(of, 2, "zone"), text(of, 3, "build"),
                    text(of, 4, "settings"));
            updates.add(new Update(member, whole(of, 5, "incarnation", 0, Long.MAX_VALUE - 1),
                    STATES[(int) whole(of, 6, "state", 0, STATES.length - 1)], text(of, 7, "by")));
        }
        return updates;
    }

    private static Object item(List<?> array, int at, String what) {
        if (at >= array.size()) {
            throw new IllegalArgumentException(what + ": expected " + (at + 1) + " items, found " + array.size());
        }
        return array.get(at);
    }

    private static long whole(List<?> array, int at, String what, long least, long most) {
        Object item = item(array, at, what);
        if ((item instanceof Integer || item instanceof Long) && ((Number) item).longValue() >= least && ((Number) item).longValue() <= most) {
            return ((Number) item).longValue();
        }
        throw expected("a whole number from " + least + " to " + most, item, what);
    }

    private static String text(List<?> array, int at, String what) {
        Object item = item(array, at, what);
        if (item instanceof String text && text.length() <= Member.TEXT_MOST) {
            return text;
        }
        throw expected("a text of at most " + Member.TEXT_MOST + " characters", item, what);
    }

    private static IllegalArgumentException expected(String what, Object found, String where) {
        String shown = String.valueOf(found);
        return new IllegalArgumentException(where + ": expected " + what + ", found " + (shown.length() > 40 ? shown.substring(0, 40) + "..." : shown));
    }
}
