package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Message;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;

/**
 * Binary codec for {@link ControlMessage}: a version byte, then one CBOR array (RFC 8949). Messages of a later version
 * and malformed messages are refused as a whole, with an error that says what was expected, what was found and where.
 */
public final class ControlCodec {

    /** Version that is written, and the latest that is read. */
    public static final int VERSION = 1;
    /** Maximum size of an encoded message: room for a change, or for all zones of a status, and the other fields. */
    public static final int MAX_MESSAGE_BYTES = 256 << 10;
    private static final int MAX_ITEMS = 1_024;
    private static final int APPLY = 0;
    private static final int GET = 1;
    private static final int GET_STATUS = 2;
    private static final int APPLIED = 3;
    private static final int CONFLICTED = 4;
    private static final int REFUSED = 5;
    private static final int UNKNOWN = 6;
    private static final int ASK_VOTER = 7;
    private static final int FOUND = 8;
    private static final int STATUS = 9;
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final ResourceKind[] KINDS = ResourceKind.values();

    private ControlCodec() { }

    /**
     * Encodes a message. Human-readable texts and the list of problems are truncated to the limits of {@link
     * ControlMessage}; throws IllegalArgumentException if any other limit is exceeded.
     */
    public static byte[] encode(ControlMessage message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(VERSION);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            generator.writeStartArray();
            write(message, generator);
            generator.writeEndArray();
        } catch (IOException e) {
            // writing to memory fails for no other reason
            throw new IllegalArgumentException("expected text in UTF-8, found " + e.getMessage(), e);
        }
        if (out.size() > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("expected at most " + MAX_MESSAGE_BYTES + " bytes, found " + out.size());
        }
        return out.toByteArray();
    }

    private static void write(ControlMessage message, JsonGenerator generator) throws IOException {
        if (message instanceof ControlMessage.Apply apply) {
            writeHeader(APPLY, message, generator);
            generator.writeBinary(MessageCodec.encode(apply.change()));
        } else if (message instanceof ControlMessage.Get get) {
            writeHeader(GET, message, generator);
            generator.writeNumber(get.kind().ordinal());
            generator.writeString(get.name());
        } else if (message instanceof ControlMessage.GetStatus) {
            writeHeader(GET_STATUS, message, generator);
        } else if (message instanceof ControlMessage.Applied applied) {
            writeHeader(APPLIED, message, generator);
            write(applied.revision(), generator);
        } else if (message instanceof ControlMessage.Conflicted conflicted) {
            writeHeader(CONFLICTED, message, generator);
            text(conflicted.reason(), generator);
        } else if (message instanceof ControlMessage.Refused refused) {
            writeHeader(REFUSED, message, generator);
            generator.writeStartArray();
            for (String problem : refused.problems().subList(0, Math.min(refused.problems().size(), ControlMessage.MAX_PROBLEMS))) {
                text(problem, generator);
            }
            generator.writeEndArray();
        } else if (message instanceof ControlMessage.Unknown unknown) {
            writeHeader(UNKNOWN, message, generator);
            text(unknown.reason(), generator);
        } else if (message instanceof ControlMessage.AskVoter ask) {
            writeHeader(ASK_VOTER, message, generator);
            text(ask.reason(), generator);
        } else if (message instanceof ControlMessage.Found found) {
            writeHeader(FOUND, message, generator);
            write(found.revision(), generator);
            generator.writeBoolean(found.resource() != null);
            if (found.resource() != null) {
                generator.writeNumber(found.resource().kind().ordinal());
                generator.writeString(found.resource().name());
                generator.writeNumber(found.resource().version());
                generator.writeBinary(found.resource().value());
            }
        } else if (message instanceof ControlMessage.Status status) {
            writeHeader(STATUS, message, generator);
            write(status.revision(), generator);
            text(status.role(), generator);
            text(status.leader(), generator);
            generator.writeNumber(status.subscribers());
            generator.writeNumber(status.disconnectedMillis());
            generator.writeBinary(MessageCodec.encode(new Message.Summary(status.zones())));
        }
    }

    private static void writeHeader(int type, ControlMessage message, JsonGenerator generator) throws IOException {
        generator.writeNumber(type);
        generator.writeNumber(message.requestId());
    }

    private static void text(String text, JsonGenerator generator) throws IOException {
        generator.writeString(text.substring(0, Math.min(text.length(), ControlMessage.MAX_TEXT_CHARS)));
    }

    private static void write(Revision revision, JsonGenerator generator) throws IOException {
        if (revision == null) {
            generator.writeNull();
            return;
        }
        generator.writeStartArray();
        generator.writeNumber(revision.epoch());
        generator.writeNumber(revision.number());
        generator.writeNumber(revision.high());
        generator.writeNumber(revision.low());
        generator.writeEndArray();
    }

    /** Decodes a message. Throws IllegalArgumentException if the bytes are not a valid message. */
    public static ControlMessage decode(byte[] bytes) {
        if (bytes.length < 2 || bytes.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("expected 2 to " + MAX_MESSAGE_BYTES + " bytes, found " + bytes.length);
        }
        if (bytes[0] != VERSION) {
            throw new IllegalArgumentException("expected messages of version " + VERSION + " at most, found version " + (bytes[0] & 0xFF));
        }
        CborReader reader = new CborReader(bytes, 1, MAX_ITEMS);
        reader.enterArray("control");
        int type = (int) reader.readLong("type", APPLY, STATUS);
        long requestId = reader.readLong("call", 0, Long.MAX_VALUE);
        ControlMessage message = switch (type) {
            case APPLY -> new ControlMessage.Apply(requestId, MessageCodec.decodeChange(reader.readBytes("change", Change.MAX_BYTES)));
            case GET -> new ControlMessage.Get(requestId, readKind(reader), reader.readString("name", 1, Resource.MAX_NAME_CHARS));
            case GET_STATUS -> new ControlMessage.GetStatus(requestId);
            case APPLIED -> new ControlMessage.Applied(requestId, readRevision(reader));
            case CONFLICTED -> new ControlMessage.Conflicted(requestId, text(reader, "reason"));
            case REFUSED -> new ControlMessage.Refused(requestId, readProblems(reader));
            case UNKNOWN -> new ControlMessage.Unknown(requestId, text(reader, "why"));
            case ASK_VOTER -> new ControlMessage.AskVoter(requestId, text(reader, "why"));
            case FOUND -> new ControlMessage.Found(requestId, readRevision(reader), reader.readBoolean("there") ? readResource(reader) : null);
            default -> new ControlMessage.Status(requestId, readRevision(reader), text(reader, "role"), text(reader, "leader"), (int) reader.readLong("subscribers", 0, Integer.MAX_VALUE),
                    reader.readLong("alone", 0, Long.MAX_VALUE), readZones(reader));
        };
        reader.exitArray();
        reader.expectEnd();
        return message;
    }

    private static ResourceKind readKind(CborReader reader) {
        return KINDS[(int) reader.readLong("kind", 0, KINDS.length - 1)];
    }

    private static String text(CborReader reader, String field) {
        return reader.readString(field, 0, ControlMessage.MAX_TEXT_CHARS);
    }

    private static Revision readRevision(CborReader reader) {
        if (reader.skipNull("revision")) {
            return null;
        }
        reader.enterArray("revision");
        Revision revision = new Revision(reader.readLong("epoch", 0, Long.MAX_VALUE), reader.readLong("number", 0, Long.MAX_VALUE), reader.readLong("high", Long.MIN_VALUE, Long.MAX_VALUE),
                reader.readLong("low", Long.MIN_VALUE, Long.MAX_VALUE));
        reader.exitArray();
        return revision;
    }

    private static List<String> readProblems(CborReader reader) {
        List<String> problems = new ArrayList<>();
        reader.enterList("problems");
        while (reader.nextItem(ControlMessage.MAX_PROBLEMS)) {
            problems.add(text(reader, "problem"));
        }
        return problems;
    }

    private static Resource readResource(CborReader reader) {
        return new Resource(readKind(reader), reader.readString("name", 1, Resource.MAX_NAME_CHARS), reader.readLong("version", 0, Long.MAX_VALUE), reader.readBytes("value", Resource.MAX_VALUE_BYTES));
    }

    private static List<Message.ZoneSummary> readZones(CborReader reader) {
        if (MessageCodec.decodeMessage(reader.readBytes("zones", MAX_MESSAGE_BYTES)) instanceof Message.Summary summary) {
            return summary.zones();
        }
        throw new IllegalArgumentException("control.zones: expected a summary, found another message");
    }
}
