package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import mastdrift.distribution.Change;
import mastdrift.distribution.Command;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Edit;
import mastdrift.distribution.EpochStart;
import mastdrift.distribution.Message;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.distribution.ZoneSummaries;
import mastdrift.distribution.Table;

/**
 * Messages, deltas and changes as bytes: a version, a form, then nested arrays in CBOR (RFC 8949), which are deflated (RFC 1951) where that makes a large one smaller. What a
 * later build says, and what is not well-formed, is refused whole, with what was expected and found where. What it writes, it reads; what is beyond a bound is refused when it
 * is written, too.
 *
 * <p>It writes and reads field by field and makes nothing but the objects that it gives: a snapshot at the target is 245,810 resources.
 */
public final class MessageCodec {

    /** Of what it writes, and the latest that it reads. */
    public static final int VERSION = 1;
    /** Bytes as written, at most: as many as a link carries. */
    public static final int BYTES_MOST = 512 << 10;
    /** Bytes of the CBOR within, at most. */
    public static final int INFLATED_MOST = 2 << 20;
    /** Deltas, shards, resources and the like in one message, at most. */
    public static final int ITEMS_MOST = 65_536;
    /** Characters of a zone's or subscriber's name, at most. */
    public static final int NAME_MOST = 128;
    /** Characters of a reason, at most. */
    public static final int REASON_MOST = 1_024;
    /** Zones of a summary, at most. */
    public static final int ZONES_MOST = ZoneSummaries.MAX_ZONES;
    private static final int DEFLATED_LEAST = 1_024;
    private static final int HEAD = 2;
    private static final byte PLAIN = 0;
    private static final byte DEFLATED = 1;
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final ResourceKind[] KINDS = ResourceKind.values();

    private static final int SUBSCRIBE = 0;
    private static final int FETCH = 1;
    private static final int CREDIT = 2;
    private static final int ACK = 3;
    private static final int NACK = 4;
    private static final int SUMMARY = 5;
    private static final int DELTAS = 6;
    private static final int HEARTBEAT = 7;
    private static final int SNAPSHOT_NEEDED = 8;
    private static final int SNAPSHOT_CHUNK = 9;
    private static final int RETRY_AFTER = 10;
    private static final int UPSERT = 0;
    private static final int DELETE = 1;
    private static final int EPOCH_START = 0;  // where a change has its id: builds before this one read it as no change, and pass over it

    /** Something by a build that says things this one doesn't know. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {

        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(int version) {
            super("expected messages of version " + VERSION + " at most, found version " + version);
        }
    }

    /** Writes the array of one message. */
    private interface Body {
        void write(JsonGenerator to) throws IOException;
    }

    private MessageCodec() { }

    // ---- writing

    /** A message as bytes, at most {@link #BYTES_MOST}. Throws IllegalArgumentException for one that is beyond a bound. */
    public static byte[] bytes(Message message) {
        return whole("a message", BYTES_MOST, to -> write(message, to));
    }

    /** A delta as bytes, at most {@link #BYTES_MOST}. Throws IllegalArgumentException for one that is beyond a bound. */
    public static byte[] bytes(Delta delta) {
        return whole("a delta", BYTES_MOST, to -> write(delta, to));
    }

    /** A change as bytes, at most {@link Change#MAX_BYTES}. Throws IllegalArgumentException for one that is beyond a bound. */
    public static byte[] bytes(Change change) {
        return whole("a change", Change.MAX_BYTES, to -> {
            to.writeStartArray(null, 2);
            text(to, "id", change.id(), 1, Change.MAX_ID_CHARS);
            to.writeStartArray(null, bounded("edits", change.edits().size(), Change.MAX_EDITS));
            for (Edit edit : change.edits()) {
                boolean upsert = edit instanceof Edit.Upsert;
                to.writeStartArray(null, upsert ? 5 : 4);
                to.writeNumber(upsert ? UPSERT : DELETE);
                to.writeNumber(edit.kind().ordinal());
                text(to, "name", edit.name(), 1, Resource.MAX_NAME_CHARS);
                number(to, "expected", edit.expectedVersion(), Edit.ANY_VERSION);
                if (edit instanceof Edit.Upsert with) {
                    bounded("value", with.value().length, Resource.MAX_VALUE_BYTES);
                    to.writeBinary(with.value());
                }
                to.writeEndArray();
            }
            to.writeEndArray();
            to.writeEndArray();
        });
    }

    /** The beginning of an epoch as bytes. */
    public static byte[] bytes(EpochStart start) {
        return whole("an epoch's beginning", Change.MAX_BYTES, to -> {
            to.writeStartArray(null, 2);
            to.writeNumber(EPOCH_START);
            write(start.from(), to);
            to.writeEndArray();
        });
    }

    private static byte[] whole(String what, int most, Body body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(DEFLATED_LEAST);
        out.write(VERSION);
        out.write(PLAIN);
        try (JsonGenerator to = FACTORY.createGenerator(out)) {
            body.write(to);
        } catch (IOException e) {
            throw new IllegalArgumentException(what + ": expected text in UTF-8, found " + e.getMessage(), e);  // bytes in memory have no other trouble
        }
        byte[] plain = out.toByteArray();
        if (plain.length - HEAD > INFLATED_MOST) {
            throw new IllegalArgumentException(what + ": expected at most " + INFLATED_MOST + " bytes before they are deflated, found " + (plain.length - HEAD));
        }
        byte[] all = plain.length < DEFLATED_LEAST ? plain : deflated(plain);
        if (all.length > most) {
            throw new IllegalArgumentException(what + ": expected at most " + most + " bytes, found " + all.length);
        }
        return all;
    }

    /** The smaller of both. */
    private static byte[] deflated(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(plain, HEAD, plain.length - HEAD);
            deflater.finish();
            byte[] all = new byte[plain.length];
            int at = HEAD + Integer.BYTES;
            int length = deflater.deflate(all, at, all.length - at);
            if (!deflater.finished()) {
                return plain;  // no smaller
            }
            ByteBuffer.wrap(all).put((byte) VERSION).put(DEFLATED).putInt(plain.length - HEAD);
            return Arrays.copyOf(all, at + length);
        } finally {
            deflater.end();
        }
    }

    private static void write(Message message, JsonGenerator to) throws IOException {
        to.writeStartArray();
        if (message instanceof Message.Subscribe subscribe) {
            to.writeNumber(SUBSCRIBE);
            write(subscribe.revision(), to);
            text(to, "zone", subscribe.zone(), 0, NAME_MOST);
        } else if (message instanceof Message.Fetch fetch) {
            to.writeNumber(FETCH);
            ByteBuffer digests = ByteBuffer.allocate(bounded("digests", fetch.digests().length, Table.SHARDS) * Long.BYTES);
            digests.asLongBuffer().put(fetch.digests());
            to.writeBinary(digests.array());
            number(to, "credit", fetch.credit(), 0);
        } else if (message instanceof Message.Credit credit) {
            to.writeNumber(CREDIT);
            number(to, "pieces", credit.chunks(), 0);
        } else if (message instanceof Message.Ack ack) {
            to.writeNumber(ACK);
            write(ack.activeRevision(), to);
        } else if (message instanceof Message.Nack nack) {
            to.writeNumber(NACK);
            write(nack.rejectedRevision(), to);
            write(nack.activeRevision(), to);
            text(to, "reason", nack.reason(), 0, REASON_MOST);
        } else if (message instanceof Message.Summary summary) {
            to.writeNumber(SUMMARY);
            to.writeStartArray(null, bounded("zones", summary.zones().size(), ZONES_MOST));
            for (Message.ZoneSummary zone : summary.zones()) {
                write(zone, to);
            }
            to.writeEndArray();
        } else if (message instanceof Message.Deltas deltas) {
            to.writeNumber(DELTAS);
            to.writeStartArray(null, bounded("deltas", deltas.deltas().size(), ITEMS_MOST));
            for (Delta delta : deltas.deltas()) {
                write(delta, to);
            }
            to.writeEndArray();
        } else if (message instanceof Message.Heartbeat heartbeat) {
            to.writeNumber(HEARTBEAT);
            write(heartbeat.revision(), to);
        } else if (message instanceof Message.SnapshotNeeded needed) {
            to.writeNumber(SNAPSHOT_NEEDED);
            write(needed.revision(), to);
            text(to, "reason", needed.reason(), 0, REASON_MOST);
        } else if (message instanceof Message.SnapshotChunk chunk) {
            to.writeNumber(SNAPSHOT_CHUNK);
            write(chunk.revision(), to);
            to.writeStartArray(null, bounded("shards", chunk.shards().size(), Table.SHARDS));
            for (Message.Shard shard : chunk.shards()) {
                to.writeStartArray(null, 2);
                to.writeNumber(bounded("shard", shard.number(), Table.SHARDS - 1));
                write(shard.resources(), to);
                to.writeEndArray();
            }
            to.writeEndArray();
            to.writeBoolean(chunk.last());
        } else if (message instanceof Message.RetryAfter retry) {
            to.writeNumber(RETRY_AFTER);
            number(to, "millis", retry.millis(), 0);
        }
        to.writeEndArray();
    }

    private static void write(Message.ZoneSummary zone, JsonGenerator to) throws IOException {
        to.writeStartArray(null, 5);
        text(to, "zone", zone.zone(), 0, NAME_MOST);
        number(to, "subscribers", zone.subscribers(), 0);
        if (zone.lowest() == null) {
            to.writeNull();
        } else {
            write(zone.lowest(), to);
        }
        number(to, "refused", zone.rejecting(), 0);
        to.writeStartArray(null, bounded("lagging", zone.lagging().size(), Message.ZoneSummary.MAX_LAGGING_NAMES));
        for (String name : zone.lagging()) {
            text(to, "name", name, 0, NAME_MOST);
        }
        to.writeEndArray();
        to.writeEndArray();
    }

    private static void write(Delta delta, JsonGenerator to) throws IOException {
        to.writeStartArray(null, 4);
        number(to, "from", delta.from(), 0);
        write(delta.to(), to);
        write(delta.upserts(), to);
        to.writeStartArray(null, bounded("deletes", delta.deletes().size(), Change.MAX_EDITS));
        for (Delta.Deletion deletion : delta.deletes()) {
            to.writeStartArray(null, 2);
            to.writeNumber(deletion.kind().ordinal());
            text(to, "name", deletion.name(), 1, Resource.MAX_NAME_CHARS);
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeEndArray();
    }

    private static void write(Revision revision, JsonGenerator to) throws IOException {
        to.writeStartArray(null, 4);
        number(to, "epoch", revision.epoch(), 0);
        number(to, "number", revision.number(), 0);
        to.writeNumber(revision.high());
        to.writeNumber(revision.low());
        to.writeEndArray();
    }

    private static void write(List<Resource> resources, JsonGenerator to) throws IOException {
        to.writeStartArray(null, bounded("resources", resources.size(), ITEMS_MOST));
        for (Resource resource : resources) {
            to.writeStartArray(null, 4);
            to.writeNumber(resource.kind().ordinal());
            to.writeString(resource.name());
            number(to, "version", resource.version(), 0);
            to.writeBinary(resource.value());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    private static int bounded(String what, int found, int most) {
        if (found < 0 || found > most) {
            throw new IllegalArgumentException(what + ": expected at most " + most + ", found " + found);
        }
        return found;
    }

    private static void number(JsonGenerator to, String what, long value, long least) throws IOException {
        if (value < least) {
            throw new IllegalArgumentException(what + ": expected at least " + least + ", found " + value);
        }
        to.writeNumber(value);
    }

    private static void text(JsonGenerator to, String what, String text, int least, int most) throws IOException {
        if (text.length() < least || text.length() > most) {
            throw new IllegalArgumentException(what + ": expected " + least + " to " + most + " characters, found " + text.length());
        }
        to.writeString(text);
    }

    // ---- reading

    /** Throws IllegalArgumentException for what is no message. */
    public static Message message(byte[] bytes) {
        CborReader from = reader(bytes, BYTES_MOST);
        from.open("message");
        Message message = switch ((int) from.whole("type", SUBSCRIBE, RETRY_AFTER)) {
            case SUBSCRIBE -> new Message.Subscribe(revision(from, "have"), from.text("zone", 0, NAME_MOST));
            case FETCH -> new Message.Fetch(digests(from), count(from, "credit"));
            case CREDIT -> new Message.Credit(count(from, "pieces"));
            case ACK -> new Message.Ack(revision(from, "in_force"));
            case NACK -> new Message.Nack(revision(from, "refused"), revision(from, "in_force"), from.text("reason", 0, REASON_MOST));
            case SUMMARY -> new Message.Summary(zones(from));
            case DELTAS -> new Message.Deltas(deltas(from));
            case HEARTBEAT -> new Message.Heartbeat(revision(from, "revision"));
            case SNAPSHOT_NEEDED -> new Message.SnapshotNeeded(revision(from, "revision"), from.text("reason", 0, REASON_MOST));
            case SNAPSHOT_CHUNK -> new Message.SnapshotChunk(revision(from, "revision"), shards(from), from.flag("last"));
            default -> new Message.RetryAfter(count(from, "millis"));
        };
        from.close();
        from.end();
        return message;
    }

    /** Throws IllegalArgumentException for what is no delta. */
    public static Delta delta(byte[] bytes) {
        CborReader from = reader(bytes, BYTES_MOST);
        Delta delta = delta(from, "delta");
        from.end();
        return delta;
    }

    /** What voters have agreed on. Throws IllegalArgumentException for what this build can't read. */
    public static Command command(byte[] bytes) {
        CborReader from = reader(bytes, Change.MAX_BYTES);
        from.open("change");
        if (!from.wholeNext("id")) {
            return change(from);
        }
        from.whole("type", EPOCH_START, EPOCH_START);
        EpochStart start = new EpochStart(revision(from, "from"));
        from.close();
        from.end();
        return start;
    }

    /** Throws IllegalArgumentException for what is no change. */
    public static Change change(byte[] bytes) {
        CborReader from = reader(bytes, Change.MAX_BYTES);
        from.open("change");
        return change(from);
    }

    private static Change change(CborReader from) {
        String id = from.text("id", 1, Change.MAX_ID_CHARS);
        List<Edit> edits = new ArrayList<>();
        from.list("edits");
        while (from.next(Change.MAX_EDITS)) {
            from.open("edit");
            boolean upsert = from.whole("type", UPSERT, DELETE) == UPSERT;
            ResourceKind kind = kind(from);
            String name = from.text("name", 1, Resource.MAX_NAME_CHARS);
            long expected = from.whole("expected", Edit.ANY_VERSION, Long.MAX_VALUE);
            edits.add(upsert ? new Edit.Upsert(kind, name, from.bytes("value", Resource.MAX_VALUE_BYTES), expected) : new Edit.Delete(kind, name, expected));
            from.close();
        }
        from.close();
        from.end();
        return new Change(id, edits);
    }

    private static CborReader reader(byte[] bytes, int most) {
        if (bytes.length < HEAD || bytes.length > most) {
            throw new IllegalArgumentException("expected " + HEAD + " to " + most + " bytes, found " + bytes.length);
        }
        if (bytes[0] != VERSION) {
            throw new UnsupportedVersionException(bytes[0] & 0xFF);
        }
        if (bytes[1] == PLAIN) {
            return new CborReader(bytes, HEAD, ITEMS_MOST);
        }
        if (bytes[1] != DEFLATED) {
            throw new IllegalArgumentException("form: expected " + PLAIN + " or " + DEFLATED + ", found " + bytes[1]);
        }
        return new CborReader(inflated(bytes), 0, ITEMS_MOST);
    }

    /** Not a byte more than it says, which is bounded. */
    private static byte[] inflated(byte[] bytes) {
        int at = HEAD + Integer.BYTES;
        int length = bytes.length < at ? -1 : ByteBuffer.wrap(bytes).getInt(HEAD);
        if (length < 0 || length > INFLATED_MOST) {
            throw new IllegalArgumentException("length: expected at most " + INFLATED_MOST + " bytes when inflated, found " + length);
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes, at, bytes.length - at);
            byte[] plain = new byte[length];
            int found = inflater.inflate(plain);
            if (found != length || !inflater.finished() && inflater.inflate(new byte[1]) > 0 || !inflater.finished() || inflater.getRemaining() > 0) {
                throw new IllegalArgumentException("expected " + length + " bytes when inflated and nothing behind them, found "
                        + (found < length ? String.valueOf(found) : "more"));
            }
            return plain;
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("expected deflated bytes, found others: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }

    private static int count(CborReader from, String what) {
        return (int) from.whole(what, 0, Integer.MAX_VALUE);
    }

    private static ResourceKind kind(CborReader from) {
        return KINDS[(int) from.whole("kind", 0, KINDS.length - 1)];
    }

    private static Revision revision(CborReader from, String what) {
        from.open(what);
        Revision revision = new Revision(from.whole("epoch", 0, Long.MAX_VALUE), from.whole("number", 0, Long.MAX_VALUE), from.whole("high", Long.MIN_VALUE, Long.MAX_VALUE),
                from.whole("low", Long.MIN_VALUE, Long.MAX_VALUE));
        from.close();
        return revision;
    }

    private static long[] digests(CborReader from) {
        byte[] bytes = from.bytes("digests", Table.SHARDS * Long.BYTES);
        if (bytes.length % Long.BYTES != 0) {
            throw new IllegalArgumentException("digests: expected " + Long.BYTES + " bytes each, found " + bytes.length + " in all");
        }
        long[] digests = new long[bytes.length / Long.BYTES];
        ByteBuffer.wrap(bytes).asLongBuffer().get(digests);
        return digests;
    }

    private static List<Message.ZoneSummary> zones(CborReader from) {
        List<Message.ZoneSummary> zones = new ArrayList<>();
        from.list("zones");
        while (from.next(ZONES_MOST)) {
            from.open("zone");
            String name = from.text("zone", 0, NAME_MOST);
            int subscribers = count(from, "subscribers");
            Revision lowest = from.absent("lowest") ? null : revision(from, "lowest");
            int refused = count(from, "refused");
            List<String> lagging = new ArrayList<>();
            from.list("lagging");
            while (from.next(Message.ZoneSummary.MAX_LAGGING_NAMES)) {
                lagging.add(from.text("name", 0, NAME_MOST));
            }
            from.close();
            zones.add(new Message.ZoneSummary(name, subscribers, lowest, refused, lagging));
        }
        return zones;
    }

    private static List<Delta> deltas(CborReader from) {
        List<Delta> deltas = new ArrayList<>();
        from.list("deltas");
        while (from.next(ITEMS_MOST)) {
            deltas.add(delta(from, "delta"));
        }
        return deltas;
    }

    private static Delta delta(CborReader from, String what) {
        from.open(what);
        long number = from.whole("from", 0, Long.MAX_VALUE);
        Revision to = revision(from, "to");
        List<Resource> upserts = resources(from, "upserts");
        List<Delta.Deletion> deletes = new ArrayList<>();
        from.list("deletes");
        while (from.next(Change.MAX_EDITS)) {
            from.open("gone");
            deletes.add(new Delta.Deletion(kind(from), from.text("name", 1, Resource.MAX_NAME_CHARS)));
            from.close();
        }
        from.close();
        return new Delta(number, to, upserts, deletes);
    }

    private static List<Message.Shard> shards(CborReader from) {
        List<Message.Shard> shards = new ArrayList<>();
        from.list("shards");
        while (from.next(Table.SHARDS)) {
            from.open("shard");
            shards.add(new Message.Shard((int) from.whole("number", 0, Table.SHARDS - 1), resources(from, "resources")));
            from.close();
        }
        return shards;
    }

    private static List<Resource> resources(CborReader from, String what) {
        List<Resource> resources = new ArrayList<>();
        from.list(what);
        while (from.next(ITEMS_MOST)) {
            from.open("resource");
            resources.add(new Resource(kind(from), from.text("name", 1, Resource.MAX_NAME_CHARS), from.whole("version", 0, Long.MAX_VALUE),
                    from.bytes("value", Resource.MAX_VALUE_BYTES)));
            from.close();
        }
        return resources;
    }
}
