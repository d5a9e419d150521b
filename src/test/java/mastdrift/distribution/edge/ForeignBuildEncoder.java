package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import mastdrift.distribution.Revision;

/**
 * Encodes messages as other builds might send them: any nesting of arrays, maps, strings, numbers and bytes after a
 * version.
 */
public final class ForeignBuildEncoder {

    private ForeignBuildEncoder() { }

    /** Encodes a value as CBOR after a version byte and, if {@code form} isn't negative, a form byte. */
    public static byte[] encode(int version, int form, Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(version);
        if (form >= 0) {
            out.write(form);
        }
        try (JsonGenerator generator = new CBORFactory().createGenerator(out)) {
            write(value, generator);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return out.toByteArray();
    }

    /** Encodes fields in the version of this build, uncompressed. */
    public static byte[] encodePlain(Object... fields) {
        return encode(1, 0, fields);
    }

    /** The fields of a revision in their encoded order. */
    public static Object[] revisionFields(Revision revision) {
        return new Object[] {revision.epoch(), revision.number(), revision.high(), revision.low()};
    }

    private static void write(Object value, JsonGenerator generator) throws IOException {
        if (value instanceof Object[] fields) {
            generator.writeStartArray();
            for (Object each : fields) {
                write(each, generator);
            }
            generator.writeEndArray();
        } else if (value instanceof Map<?, ?> keys) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> each : keys.entrySet()) {
                generator.writeFieldName((String) each.getKey());
                write(each.getValue(), generator);
            }
            generator.writeEndObject();
        } else if (value instanceof byte[] bytes) {
            generator.writeBinary(bytes);
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeNumber(((Number) value).longValue());
        }
    }
}
