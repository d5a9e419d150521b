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
 * Binary codec for messages, deltas and changes: a version byte, a form byte, then nested CBOR arrays (RFC 8949), which
 * are deflated (RFC 1951) if they are large and that makes them smaller. Input of a later version and malformed input
 * are refused as a whole, with an error that says what was expected, what was found and where. The limits are checked
 * when encoding too, so that whatever is encoded can be decoded.
 * <p>Encodes and decodes field by field without intermediate objects: a snapshot at the target size has 245,810
 * resources.
 */
public final class MessageCodec {

    /** Version that is written, and the latest that is read. */
    public static final int VERSION = 1;
    /** Maximum size of an encoded message, after compression: as much as a link carries. */
    public static final int MAX_ENCODED_BYTES = 512 << 10;
    /** Maximum size of the CBOR before compression. */
    public static final int MAX_INFLATED_BYTES = 2 << 20;
    /** Maximum number of list items (deltas, shards, resources and others) in one message. */
    public static final int MAX_ITEMS = 65_536;
    /** Maximum length of the name of a zone or subscriber. */
    public static final int MAX_NAME_CHARS = 128;
    /** Maximum length of a reason. */
    public static final int MAX_REASON_CHARS = 1_024;
    /** Maximum number of zones in a summary. */
    public static final int MAX_ZONES = ZoneSummaries.MAX_ZONES;
    private static final int MIN_DEFLATE_BYTES = 1_024;
    private static final int HEADER_BYTES = 2;
    private static final byte FORM_PLAIN = 0;
    private static final byte FORM_DEFLATED = 1;
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
    // stands where a change has its id: earlier builds take it for an invalid change and skip it
    private static final int EPOCH_START = 0;

    /** Thrown for input of a version that this build does not know. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {

        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(int version) {
            super("expected messages of version " + VERSION + " at most, found version " + version);
        }
    }

    /** Writes the CBOR array of one message. */
    private interface BodyWriter {
        void write(JsonGenerator generator) throws IOException;
    }

    private MessageCodec() { }

    // ---- writing

    /**
     * Encodes a message, to at most {@link #MAX_ENCODED_BYTES}. Throws IllegalArgumentException if a limit is exceeded.
     */
    public static byte[] encode(Message message) {
        return encodeBody("a message", MAX_ENCODED_BYTES, generator -> write(message, generator));
    }

    /**
     * Encodes a delta, to at most {@link #MAX_ENCODED_BYTES}. Throws IllegalArgumentException if a limit is exceeded.
     */
    public static byte[] encode(Delta delta) {
        return encodeBody("a delta", MAX_ENCODED_BYTES, generator -> write(delta, generator));
    }

    /**
     * Encodes a change; its encoded size is limited by {@link Change}. Throws IllegalArgumentException if a limit is
     * exceeded.
     */
    public static byte[] encode(Change change) {
        return encodeBody("a change", Change.MAX_BYTES, generator -> {
            generator.writeStartArray(null, 2);
            writeString(generator, "id", change.id(), 1, Change.MAX_ID_CHARS);
            generator.writeStartArray(null, checkMax("edits", change.edits().size(), Change.MAX_EDITS));
            for (Edit edit : change.edits()) {
                boolean upsert = edit instanceof Edit.Upsert;
                generator.writeStartArray(null, upsert ? 5 : 4);
                generator.writeNumber(upsert ? UPSERT : DELETE);
                generator.writeNumber(edit.kind().ordinal());
                writeString(generator, "name", edit.name(), 1, Resource.MAX_NAME_CHARS);
                writeNumber(generator, "expected", edit.expectedVersion(), Edit.ANY_VERSION);
                if (edit instanceof Edit.Upsert upsertEdit) {
                    checkMax("value", upsertEdit.value().length, Resource.MAX_VALUE_BYTES);
                    generator.writeBinary(upsertEdit.value());
                }
                generator.writeEndArray();
            }
            generator.writeEndArray();
            generator.writeEndArray();
        });
    }

    /** Encodes the start of an epoch. */
    public static byte[] encode(EpochStart start) {
        return encodeBody("an epoch start", Change.MAX_BYTES, generator -> {
            generator.writeStartArray(null, 2);
            generator.writeNumber(EPOCH_START);
            write(start.from(), generator);
            generator.writeEndArray();
        });
    }

    private static byte[] encodeBody(String subject, int maxBytes, BodyWriter body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(MIN_DEFLATE_BYTES);
        out.write(VERSION);
        out.write(FORM_PLAIN);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            body.write(generator);
        } catch (IOException e) {
            // writing to memory fails for no other reason
            throw new IllegalArgumentException(subject + ": expected text in UTF-8, found " + e.getMessage(), e);
        }
        byte[] plain = out.toByteArray();
        if (plain.length - HEADER_BYTES > MAX_INFLATED_BYTES) {
            throw new IllegalArgumentException(subject + ": expected at most " + MAX_INFLATED_BYTES + " bytes before they are deflated, found " + (plain.length - HEADER_BYTES));
        }
        byte[] encoded = plain.length < MIN_DEFLATE_BYTES ? plain : deflate(plain);
        if (encoded.length > maxBytes) {
            throw new IllegalArgumentException(subject + ": expected at most " + maxBytes + " bytes, found " + encoded.length);
        }
        return encoded;
    }

    /** Deflates an encoded message; returns {@code plain} itself if that does not make it smaller. */
    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(plain, HEADER_BYTES, plain.length - HEADER_BYTES);
            deflater.finish();
            byte[] deflated = new byte[plain.length];
            int offset = HEADER_BYTES + Integer.BYTES;
            int length = deflater.deflate(deflated, offset, deflated.length - offset);
            if (!deflater.finished()) {
                return plain;  // deflating did not make it smaller
            }
            ByteBuffer.wrap(deflated).put((byte) VERSION).put(FORM_DEFLATED).putInt(plain.length - HEADER_BYTES);
            return Arrays.copyOf(deflated, offset + length);
        } finally {
            deflater.end();
        }
    }

    private static void write(Message message, JsonGenerator generator) throws IOException {
        generator.writeStartArray();
        if (message instanceof Message.Subscribe subscribe) {
            generator.writeNumber(SUBSCRIBE);
            write(subscribe.revision(), generator);
            writeString(generator, "zone", subscribe.zone(), 0, MAX_NAME_CHARS);
        } else if (message instanceof Message.Fetch fetch) {
            generator.writeNumber(FETCH);
            ByteBuffer digests = ByteBuffer.allocate(checkMax("digests", fetch.digests().length, Table.SHARDS) * Long.BYTES);
            digests.asLongBuffer().put(fetch.digests());
            generator.writeBinary(digests.array());
            writeNumber(generator, "credit", fetch.credit(), 0);
        } else if (message instanceof Message.Credit credit) {
            generator.writeNumber(CREDIT);
            writeNumber(generator, "pieces", credit.chunks(), 0);
        } else if (message instanceof Message.Ack ack) {
            generator.writeNumber(ACK);
            write(ack.activeRevision(), generator);
        } else if (message instanceof Message.Nack nack) {
            generator.writeNumber(NACK);
            write(nack.rejectedRevision(), generator);
            write(nack.activeRevision(), generator);
            writeString(generator, "reason", nack.reason(), 0, MAX_REASON_CHARS);
        } else if (message instanceof Message.Summary summary) {
            generator.writeNumber(SUMMARY);
            generator.writeStartArray(null, checkMax("zones", summary.zones().size(), MAX_ZONES));
            for (Message.ZoneSummary zone : summary.zones()) {
                write(zone, generator);
            }
            generator.writeEndArray();
        } else if (message instanceof Message.Deltas deltas) {
            generator.writeNumber(DELTAS);
            generator.writeStartArray(null, checkMax("deltas", deltas.deltas().size(), MAX_ITEMS));
            for (Delta delta : deltas.deltas()) {
                write(delta, generator);
            }
            generator.writeEndArray();
        } else if (message instanceof Message.Heartbeat heartbeat) {
            generator.writeNumber(HEARTBEAT);
            write(heartbeat.revision(), generator);
        } else if (message instanceof Message.SnapshotNeeded needed) {
            generator.writeNumber(SNAPSHOT_NEEDED);
            write(needed.revision(), generator);
            writeString(generator, "reason", needed.reason(), 0, MAX_REASON_CHARS);
        } else if (message instanceof Message.SnapshotChunk chunk) {
            generator.writeNumber(SNAPSHOT_CHUNK);
            write(chunk.revision(), generator);
            generator.writeStartArray(null, checkMax("shards", chunk.shards().size(), Table.SHARDS));
            for (Message.Shard shard : chunk.shards()) {
                generator.writeStartArray(null, 2);
                generator.writeNumber(checkMax("shard", shard.number(), Table.SHARDS - 1));
                write(shard.resources(), generator);
                generator.writeEndArray();
            }
            generator.writeEndArray();
            generator.writeBoolean(chunk.last());
        } else if (message instanceof Message.RetryAfter retry) {
            generator.writeNumber(RETRY_AFTER);
            writeNumber(generator, "millis", retry.millis(), 0);
        }
        generator.writeEndArray();
    }

    private static void write(Message.ZoneSummary zone, JsonGenerator generator) throws IOException {
        generator.writeStartArray(null, 5);
        writeString(generator, "zone", zone.zone(), 0, MAX_NAME_CHARS);
        writeNumber(generator, "subscribers", zone.subscribers(), 0);
        if (zone.lowest() == null) {
            generator.writeNull();
        } else {
            write(zone.lowest(), generator);
        }
        writeNumber(generator, "refused", zone.rejecting(), 0);
        generator.writeStartArray(null, checkMax("lagging", zone.lagging().size(), Message.ZoneSummary.MAX_LAGGING_NAMES));
        for (String name : zone.lagging()) {
            writeString(generator, "name", name, 0, MAX_NAME_CHARS);
        }
        generator.writeEndArray();
        generator.writeEndArray();
    }

    private static void write(Delta delta, JsonGenerator generator) throws IOException {
        generator.writeStartArray(null, 4);
        writeNumber(generator, "from", delta.from(), 0);
        write(delta.to(), generator);
        write(delta.upserts(), generator);
        generator.writeStartArray(null, checkMax("deletes", delta.deletes().size(), Change.MAX_EDITS));
        for (Delta.Deletion deletion : delta.deletes()) {
            generator.writeStartArray(null, 2);
            generator.writeNumber(deletion.kind().ordinal());
            writeString(generator, "name", deletion.name(), 1, Resource.MAX_NAME_CHARS);
            generator.writeEndArray();
        }
        generator.writeEndArray();
        generator.writeEndArray();
    }

    private static void write(Revision revision, JsonGenerator generator) throws IOException {
        generator.writeStartArray(null, 4);
        writeNumber(generator, "epoch", revision.epoch(), 0);
        writeNumber(generator, "number", revision.number(), 0);
        generator.writeNumber(revision.high());
        generator.writeNumber(revision.low());
        generator.writeEndArray();
    }

    private static void write(List<Resource> resources, JsonGenerator generator) throws IOException {
        generator.writeStartArray(null, checkMax("resources", resources.size(), MAX_ITEMS));
        for (Resource resource : resources) {
            generator.writeStartArray(null, 4);
            generator.writeNumber(resource.kind().ordinal());
            generator.writeString(resource.name());
            writeNumber(generator, "version", resource.version(), 0);
            generator.writeBinary(resource.value());
            generator.writeEndArray();
        }
        generator.writeEndArray();
    }

    private static int checkMax(String field, int value, int max) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException(field + ": expected at most " + max + ", found " + value);
        }
        return value;
    }

    private static void writeNumber(JsonGenerator generator, String field, long value, long min) throws IOException {
        if (value < min) {
            throw new IllegalArgumentException(field + ": expected at least " + min + ", found " + value);
        }
        generator.writeNumber(value);
    }

    private static void writeString(JsonGenerator generator, String field, String text, int minChars, int maxChars) throws IOException {
        if (text.length() < minChars || text.length() > maxChars) {
            throw new IllegalArgumentException(field + ": expected " + minChars + " to " + maxChars + " characters, found " + text.length());
        }
        generator.writeString(text);
    }

    // ---- reading

    /** Decodes a message. Throws IllegalArgumentException if the bytes are not a valid message. */
    public static Message decodeMessage(byte[] bytes) {
        CborReader reader = openReader(bytes, MAX_ENCODED_BYTES);
        reader.enterArray("message");
        Message message = switch ((int) reader.readLong("type", SUBSCRIBE, RETRY_AFTER)) {
            case SUBSCRIBE -> new Message.Subscribe(readRevision(reader, "have"), reader.readString("zone", 0, MAX_NAME_CHARS));
            case FETCH -> new Message.Fetch(readDigests(reader), readCount(reader, "credit"));
            case CREDIT -> new Message.Credit(readCount(reader, "pieces"));
            case ACK -> new Message.Ack(readRevision(reader, "in_force"));
            case NACK -> new Message.Nack(readRevision(reader, "refused"), readRevision(reader, "in_force"), reader.readString("reason", 0, MAX_REASON_CHARS));
            case SUMMARY -> new Message.Summary(readZones(reader));
            case DELTAS -> new Message.Deltas(readDeltas(reader));
            case HEARTBEAT -> new Message.Heartbeat(readRevision(reader, "revision"));
            case SNAPSHOT_NEEDED -> new Message.SnapshotNeeded(readRevision(reader, "revision"), reader.readString("reason", 0, MAX_REASON_CHARS));
            case SNAPSHOT_CHUNK -> new Message.SnapshotChunk(readRevision(reader, "revision"), readShards(reader), reader.readBoolean("last"));
            default -> new Message.RetryAfter(readCount(reader, "millis"));
        };
        reader.exitArray();
        reader.expectEnd();
        return message;
    }

    /** Decodes a delta. Throws IllegalArgumentException if the bytes are not a valid delta. */
    public static Delta decodeDelta(byte[] bytes) {
        CborReader reader = openReader(bytes, MAX_ENCODED_BYTES);
        Delta delta = decodeDelta(reader, "delta");
        reader.expectEnd();
        return delta;
    }

    /**
     * Decodes a command that the voters have agreed on. Throws IllegalArgumentException if this build can't read it.
     */
    public static Command decodeCommand(byte[] bytes) {
        CborReader reader = openReader(bytes, Change.MAX_BYTES);
        reader.enterArray("change");
        if (!reader.isIntegerNext("id")) {
            return decodeChange(reader);
        }
        reader.readLong("type", EPOCH_START, EPOCH_START);
        EpochStart start = new EpochStart(readRevision(reader, "from"));
        reader.exitArray();
        reader.expectEnd();
        return start;
    }

    /** Decodes a change. Throws IllegalArgumentException if the bytes are not a valid change. */
    public static Change decodeChange(byte[] bytes) {
        CborReader reader = openReader(bytes, Change.MAX_BYTES);
        reader.enterArray("change");
        return decodeChange(reader);
    }

    private static Change decodeChange(CborReader reader) {
        String id = reader.readString("id", 1, Change.MAX_ID_CHARS);
        List<Edit> edits = new ArrayList<>();
        reader.enterList("edits");
        while (reader.nextItem(Change.MAX_EDITS)) {
            reader.enterArray("edit");
            boolean upsert = reader.readLong("type", UPSERT, DELETE) == UPSERT;
            ResourceKind kind = readKind(reader);
            String name = reader.readString("name", 1, Resource.MAX_NAME_CHARS);
            long expectedVersion = reader.readLong("expected", Edit.ANY_VERSION, Long.MAX_VALUE);
            edits.add(upsert ? new Edit.Upsert(kind, name, reader.readBytes("value", Resource.MAX_VALUE_BYTES), expectedVersion) : new Edit.Delete(kind, name, expectedVersion));
            reader.exitArray();
        }
        reader.exitArray();
        reader.expectEnd();
        return new Change(id, edits);
    }

    private static CborReader openReader(byte[] bytes, int maxBytes) {
        if (bytes.length < HEADER_BYTES || bytes.length > maxBytes) {
            throw new IllegalArgumentException("expected " + HEADER_BYTES + " to " + maxBytes + " bytes, found " + bytes.length);
        }
        if (bytes[0] != VERSION) {
            throw new UnsupportedVersionException(bytes[0] & 0xFF);
        }
        if (bytes[1] == FORM_PLAIN) {
            return new CborReader(bytes, HEADER_BYTES, MAX_ITEMS);
        }
        if (bytes[1] != FORM_DEFLATED) {
            throw new IllegalArgumentException("form: expected " + FORM_PLAIN + " or " + FORM_DEFLATED + ", found " + bytes[1]);
        }
        return new CborReader(inflate(bytes), 0, MAX_ITEMS);
    }

    /** Inflates a message body. The stated length is bounded, and the body must inflate to exactly that length. */
    private static byte[] inflate(byte[] bytes) {
        int offset = HEADER_BYTES + Integer.BYTES;
        int length = bytes.length < offset ? -1 : ByteBuffer.wrap(bytes).getInt(HEADER_BYTES);
        if (length < 0 || length > MAX_INFLATED_BYTES) {
            throw new IllegalArgumentException("length: expected at most " + MAX_INFLATED_BYTES + " bytes when inflated, found " + length);
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes, offset, bytes.length - offset);
            byte[] plain = new byte[length];
            int found = inflater.inflate(plain);
            if (found != length || !inflater.finished() && inflater.inflate(new byte[1]) > 0 || !inflater.finished() || inflater.getRemaining() > 0) {
                throw new IllegalArgumentException("expected " + length + " bytes when inflated and nothing after them, found "
                        + (found < length ? String.valueOf(found) : "more"));
            }
            return plain;
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("expected deflated bytes, found invalid data: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }

    private static int readCount(CborReader reader, String field) {
        return (int) reader.readLong(field, 0, Integer.MAX_VALUE);
    }

    private static ResourceKind readKind(CborReader reader) {
        return KINDS[(int) reader.readLong("kind", 0, KINDS.length - 1)];
    }

    private static Revision readRevision(CborReader reader, String field) {
        reader.enterArray(field);
        Revision revision = new Revision(reader.readLong("epoch", 0, Long.MAX_VALUE), reader.readLong("number", 0, Long.MAX_VALUE), reader.readLong("high", Long.MIN_VALUE, Long.MAX_VALUE),
                reader.readLong("low", Long.MIN_VALUE, Long.MAX_VALUE));
        reader.exitArray();
        return revision;
    }

    private static long[] readDigests(CborReader reader) {
        byte[] bytes = reader.readBytes("digests", Table.SHARDS * Long.BYTES);
        if (bytes.length % Long.BYTES != 0) {
            throw new IllegalArgumentException("digests: expected " + Long.BYTES + " bytes each, found " + bytes.length + " in all");
        }
        long[] digests = new long[bytes.length / Long.BYTES];
        ByteBuffer.wrap(bytes).asLongBuffer().get(digests);
        return digests;
    }

    private static List<Message.ZoneSummary> readZones(CborReader reader) {
        List<Message.ZoneSummary> zones = new ArrayList<>();
        reader.enterList("zones");
        while (reader.nextItem(MAX_ZONES)) {
            reader.enterArray("zone");
            String name = reader.readString("zone", 0, MAX_NAME_CHARS);
            int subscribers = readCount(reader, "subscribers");
            Revision lowest = reader.skipNull("lowest") ? null : readRevision(reader, "lowest");
            int refused = readCount(reader, "refused");
            List<String> lagging = new ArrayList<>();
            reader.enterList("lagging");
            while (reader.nextItem(Message.ZoneSummary.MAX_LAGGING_NAMES)) {
                lagging.add(reader.readString("name", 0, MAX_NAME_CHARS));
            }
            reader.exitArray();
            zones.add(new Message.ZoneSummary(name, subscribers, lowest, refused, lagging));
        }
        return zones;
    }

    private static List<Delta> readDeltas(CborReader reader) {
        List<Delta> deltas = new ArrayList<>();
        reader.enterList("deltas");
        while (reader.nextItem(MAX_ITEMS)) {
            deltas.add(decodeDelta(reader, "delta"));
        }
        return deltas;
    }

    private static Delta decodeDelta(CborReader reader, String field) {
        reader.enterArray(field);
        long fromNumber = reader.readLong("from", 0, Long.MAX_VALUE);
        Revision to = readRevision(reader, "to");
        List<Resource> upserts = readResources(reader, "upserts");
        List<Delta.Deletion> deletes = new ArrayList<>();
        reader.enterList("deletes");
        while (reader.nextItem(Change.MAX_EDITS)) {
            reader.enterArray("gone");
            deletes.add(new Delta.Deletion(readKind(reader), reader.readString("name", 1, Resource.MAX_NAME_CHARS)));
            reader.exitArray();
        }
        reader.exitArray();
        return new Delta(fromNumber, to, upserts, deletes);
    }

    private static List<Message.Shard> readShards(CborReader reader) {
        List<Message.Shard> shards = new ArrayList<>();
        reader.enterList("shards");
        while (reader.nextItem(Table.SHARDS)) {
            reader.enterArray("shard");
            shards.add(new Message.Shard((int) reader.readLong("number", 0, Table.SHARDS - 1), readResources(reader, "resources")));
            reader.exitArray();
        }
        return shards;
    }

    private static List<Resource> readResources(CborReader reader, String field) {
        List<Resource> resources = new ArrayList<>();
        reader.enterList(field);
        while (reader.nextItem(MAX_ITEMS)) {
            reader.enterArray("resource");
            resources.add(new Resource(readKind(reader), reader.readString("name", 1, Resource.MAX_NAME_CHARS), reader.readLong("version", 0, Long.MAX_VALUE),
                    reader.readBytes("value", Resource.MAX_VALUE_BYTES)));
            reader.exitArray();
        }
        return resources;
    }
}
