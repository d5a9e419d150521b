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

/** Operators' questions and their answers as bytes: a version, then one array in CBOR (RFC 8949). What a later build says, and what is not well-formed, is refused whole, with what was
    expected and found where. */
public final class ControlCodec {

    /** Of what it writes, and the latest that it reads. */
    public static final int VERSION = 1;
    /** Bytes, at most: a change, or all zones of a status, and what is around them. */
    public static final int BYTES_MOST = 256 << 10;
    private static final int ITEMS_MOST = 1_024;
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

    /** A message as bytes. Lines for a person are cut to {@link ControlMessage#MAX_TEXT_CHARS}; throws IllegalArgumentException for what else is beyond a bound. */
    public static byte[] bytes(ControlMessage message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(VERSION);
        try (JsonGenerator to = FACTORY.createGenerator(out)) {
            to.writeStartArray();
            write(message, to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new IllegalArgumentException("expected text in UTF-8, found " + e.getMessage(), e);  // bytes in memory have no other trouble
        }
        if (out.size() > BYTES_MOST) {
            throw new IllegalArgumentException("expected at most " + BYTES_MOST + " bytes, found " + out.size());
        }
        return out.toByteArray();
    }

    private static void write(ControlMessage message, JsonGenerator to) throws IOException {
        if (message instanceof ControlMessage.Apply apply) {
            head(APPLY, message, to);
            to.writeBinary(MessageCodec.bytes(apply.change()));
        } else if (message instanceof ControlMessage.Get get) {
            head(GET, message, to);
            to.writeNumber(get.kind().ordinal());
            to.writeString(get.name());
        } else if (message instanceof ControlMessage.GetStatus) {
            head(GET_STATUS, message, to);
        } else if (message instanceof ControlMessage.Applied applied) {
            head(APPLIED, message, to);
            write(applied.revision(), to);
        } else if (message instanceof ControlMessage.Conflicted conflicted) {
            head(CONFLICTED, message, to);
            text(conflicted.reason(), to);
        } else if (message instanceof ControlMessage.Refused refused) {
            head(REFUSED, message, to);
            to.writeStartArray();
            for (String each : refused.problems().subList(0, Math.min(refused.problems().size(), ControlMessage.MAX_PROBLEMS))) {
                text(each, to);
            }
            to.writeEndArray();
        } else if (message instanceof ControlMessage.Unknown unknown) {
            head(UNKNOWN, message, to);
            text(unknown.reason(), to);
        } else if (message instanceof ControlMessage.AskVoter ask) {
            head(ASK_VOTER, message, to);
            text(ask.reason(), to);
        } else if (message instanceof ControlMessage.Found found) {
            head(FOUND, message, to);
            write(found.revision(), to);
            to.writeBoolean(found.resource() != null);
            if (found.resource() != null) {
                to.writeNumber(found.resource().kind().ordinal());
                to.writeString(found.resource().name());
                to.writeNumber(found.resource().version());
                to.writeBinary(found.resource().value());
            }
        } else if (message instanceof ControlMessage.Status status) {
            head(STATUS, message, to);
            write(status.revision(), to);
            text(status.role(), to);
            text(status.leader(), to);
            to.writeNumber(status.subscribers());
            to.writeNumber(status.disconnectedMillis());
            to.writeBinary(MessageCodec.bytes(new Message.Summary(status.zones())));
        }
    }

    private static void head(int type, ControlMessage message, JsonGenerator to) throws IOException {
        to.writeNumber(type);
        to.writeNumber(message.requestId());
    }

    private static void text(String text, JsonGenerator to) throws IOException {
        to.writeString(text.substring(0, Math.min(text.length(), ControlMessage.MAX_TEXT_CHARS)));
    }

    private static void write(Revision revision, JsonGenerator to) throws IOException {
        if (revision == null) {
            to.writeNull();
            return;
        }
        to.writeStartArray();
        to.writeNumber(revision.epoch());
        to.writeNumber(revision.number());
        to.writeNumber(revision.high());
        to.writeNumber(revision.low());
        to.writeEndArray();
    }

    /** Throws IllegalArgumentException for what is no message. */
    public static ControlMessage message(byte[] bytes) {
        if (bytes.length < 2 || bytes.length > BYTES_MOST) {
            throw new IllegalArgumentException("expected 2 to " + BYTES_MOST + " bytes, found " + bytes.length);
        }
        if (bytes[0] != VERSION) {
            throw new IllegalArgumentException("expected messages of version " + VERSION + " at most, found version " + (bytes[0] & 0xFF));
        }
        CborReader from = new CborReader(bytes, 1, ITEMS_MOST);
        from.open("control");
        int type = (int) from.whole("type", APPLY, STATUS);
        long requestId = from.whole("call", 0, Long.MAX_VALUE);
        ControlMessage message = switch (type) {
            case APPLY -> new ControlMessage.Apply(requestId, MessageCodec.change(from.bytes("change", Change.MAX_BYTES)));
            case GET -> new ControlMessage.Get(requestId, kind(from), from.text("name", 1, Resource.MAX_NAME_CHARS));
            case GET_STATUS -> new ControlMessage.GetStatus(requestId);
            case APPLIED -> new ControlMessage.Applied(requestId, revision(from));
            case CONFLICTED -> new ControlMessage.Conflicted(requestId, text(from, "reason"));
            case REFUSED -> new ControlMessage.Refused(requestId, problems(from));
            case UNKNOWN -> new ControlMessage.Unknown(requestId, text(from, "why"));
            case ASK_VOTER -> new ControlMessage.AskVoter(requestId, text(from, "why"));
            case FOUND -> new ControlMessage.Found(requestId, revision(from), from.flag("there") ? resource(from) : null);
            default -> new ControlMessage.Status(requestId, revision(from), text(from, "role"), text(from, "leader"), (int) from.whole("subscribers", 0, Integer.MAX_VALUE),
                    from.whole("alone", 0, Long.MAX_VALUE), zones(from));
        };
        from.close();
        from.end();
        return message;
    }

    private static ResourceKind kind(CborReader from) {
        return KINDS[(int) from.whole("kind", 0, KINDS.length - 1)];
    }

    private static String text(CborReader from, String what) {
        return from.text(what, 0, ControlMessage.MAX_TEXT_CHARS);
    }

    private static Revision revision(CborReader from) {
        if (from.absent("revision")) {
            return null;
        }
        from.open("revision");
        Revision revision = new Revision(from.whole("epoch", 0, Long.MAX_VALUE), from.whole("number", 0, Long.MAX_VALUE), from.whole("high", Long.MIN_VALUE, Long.MAX_VALUE),
                from.whole("low", Long.MIN_VALUE, Long.MAX_VALUE));
        from.close();
        return revision;
    }

    private static List<String> problems(CborReader from) {
        List<String> problems = new ArrayList<>();
        from.list("problems");
        while (from.next(ControlMessage.MAX_PROBLEMS)) {
            problems.add(text(from, "problem"));
        }
        return problems;
    }

    private static Resource resource(CborReader from) {
        return new Resource(kind(from), from.text("name", 1, Resource.MAX_NAME_CHARS), from.whole("version", 0, Long.MAX_VALUE), from.bytes("value", Resource.MAX_VALUE_BYTES));
    }

    private static List<Message.ZoneSummary> zones(CborReader from) {
        if (MessageCodec.message(from.bytes("zones", BYTES_MOST)) instanceof Message.Summary summary) {
            return summary.zones();
        }
        throw new IllegalArgumentException("control.zones: expected a summary, found another message");
    }
}
