package mastdrift.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import java.util.Locale;
import mastdrift.events.Events;
import org.slf4j.spi.LoggingEventBuilder;

/** A log of events on a stream. One a program. */
public final class LogSetup implements AutoCloseable {

    private static final int QUEUE_MOST = 1024;

    /** How lines look. */
    public enum Form {
        /** Time, level, text, fields. */
        TEXT,
        /** A JSON object a line. */
        JSON;

        /** By its name in small letters; throws IllegalArgumentException with what was expected. */
        public static Form parse(String text) {
            for (Form form : values()) {
                if (form.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return form;
                }
            }
            throw new IllegalArgumentException("expected text or json, found \"" + text + "\"");
        }
    }

    private final LoggerContext context = new LoggerContext();
    private final BoundedLog bounded;
    private final Logger logger;

    /** Writes to {@code out}, which it doesn't close; libraries' own lines are not among them. */
    public LogSetup(OutputStream out, Form form) {
        this(out, form, QUEUE_MOST);
    }

    LogSetup(OutputStream out, Form form, int most) {
        context.setName("mastdrift");
        context.setMDCAdapter(new LogbackMDCAdapter());
        logger = context.getLogger("mastdrift");
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        OutputStreamAppender<ILoggingEvent> stream = new OutputStreamAppender<>();
        stream.setContext(context);
        stream.setEncoder(encoder(form));
        stream.setOutputStream(new Kept(out));
        stream.start();
        bounded = new BoundedLog(logger, most);
        bounded.setContext(context);
        bounded.addAppender(stream);
        bounded.start();
        logger.addAppender(bounded);
        context.start();
    }

    private Encoder<ILoggingEvent> encoder(Form form) {
        if (form == Form.JSON) {
            JsonEncoder json = new JsonEncoder();
            json.setContext(context);
            json.setWithContext(false);
            json.setWithSequenceNumber(false);
            json.setWithNanoseconds(false);
            json.setWithArguments(false);
            json.setWithMessage(false);
            json.setWithFormattedMessage(true);
            json.setWithMDC(false);
            json.start();
            return json;
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg %kvp%n");
        text.start();
        return text;
    }

    /** Where events go. */
    public Events events() {
        return (level, name, text, fields) -> {
            LoggingEventBuilder event = switch (level) {
                case INFO -> logger.atInfo();
                case WARN -> logger.atWarn();
                default -> logger.atError();
            };
            event = event.addKeyValue("event", name);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                event = event.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
            }
            event.log(text.replace('\n', ' '));
        };
    }

    /** Events that were dropped since the queue was full. */
    public long dropped() {
        return bounded.dropped();
    }

    /** Writes what waits, for at most a second, and ends. */
    @Override
    public void close() {
        context.stop();
    }

    /** A stream that outlives the log. */
    private static final class Kept extends java.io.FilterOutputStream {

        Kept(OutputStream out) {
            super(out);
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws java.io.IOException {
            out.write(bytes, from, length);
        }

        @Override
        public void close() throws java.io.IOException {
            flush();
        }
    }
}
