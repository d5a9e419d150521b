package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import mastdrift.distribution.Revision;

/** Writes what another build might: any nesting of arrays, keys, texts, numbers and bytes behind a version. */
public final class LaterCodec {

    private LaterCodec() { }

    /** A value in CBOR behind a version and, where it is not negative, a form. */
    public static byte[] bytes(int version, int form, Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(version);
        if (form >= 0) {
            out.write(form);
        }
        try (JsonGenerator to = new CBORFactory().createGenerator(out)) {
            write(value, to);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return out.toByteArray();
    }

    /** As this build writes it, in plain form. */
    public static byte[] plain(Object... fields) {
        return bytes(1, 0, fields);
    }

    /** A revision's fields. */
    public static Object[] fields(Revision of) {
        return new Object[] {of.epoch(), of.number(), of.high(), of.low()};
    }

    private static void write(Object value, JsonGenerator to) throws IOException {
        if (value instanceof Object[] fields) {
            to.writeStartArray();
            for (Object each : fields) {
                write(each, to);
            }
            to.writeEndArray();
        } else if (value instanceof Map<?, ?> keys) {
            to.writeStartObject();
            for (Map.Entry<?, ?> each : keys.entrySet()) {
                to.writeFieldName((String) each.getKey());
                write(each.getValue(), to);
            }
            to.writeEndObject();
        } else if (value instanceof byte[] bytes) {
            to.writeBinary(bytes);
        } else if (value instanceof String text) {
            to.writeString(text);
        } else if (value instanceof Boolean flag) {
            to.writeBoolean(flag);
        } else if (value == null) {
            to.writeNull();
        } else {
            to.writeNumber(((Number) value).longValue());
        }
    }
}
