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

/** Writes events to a stream through SLF4J and Logback. One per program. */
public final class LogSetup implements AutoCloseable {

    private static final int MAX_QUEUED_EVENTS = 1024;

    /** The format of the lines. */
    public enum Format {
        /** Time, level, text, fields. */
        TEXT,
        /** One JSON object a line. */
        JSON;

        /** The format with this name in lower case; throws IllegalArgumentException that says what was expected. */
        public static Format parse(String text) {
            for (Format format : values()) {
                if (format.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return format;
                }
            }
            throw new IllegalArgumentException("expected text or json, found \"" + text + "\"");
        }
    }

    private final LoggerContext context = new LoggerContext();
    private final BoundedLog bounded;
    private final Logger logger;

    /** Writes to {@code out}, which it doesn't close; log lines of libraries are not included. */
    public LogSetup(OutputStream out, Format format) {
        this(out, format, MAX_QUEUED_EVENTS);
    }

    LogSetup(OutputStream out, Format format, int queueCapacity) {
        context.setName("mastdrift");
        context.setMDCAdapter(new LogbackMDCAdapter());
        logger = context.getLogger("mastdrift");
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        OutputStreamAppender<ILoggingEvent> stream = new OutputStreamAppender<>();
        stream.setContext(context);
        stream.setEncoder(encoder(format));
        stream.setOutputStream(new NonClosingStream(out));
        stream.start();
        bounded = new BoundedLog(logger, queueCapacity);
        bounded.setContext(context);
        bounded.addAppender(stream);
        bounded.start();
        logger.addAppender(bounded);
        context.start();
    }

    private Encoder<ILoggingEvent> encoder(Format format) {
        if (format == Format.JSON) {
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

    /** The receiver of events that writes them to this log. */
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

    /** Events that were dropped because the queue was full. */
    public long dropped() {
        return bounded.dropped();
    }

    /** Writes what is queued, for at most a second, and stops. */
    @Override
    public void close() {
        context.stop();
    }

    /** A stream that flushes instead of closing the wrapped one. */
    private static final class NonClosingStream extends java.io.FilterOutputStream {

        NonClosingStream(OutputStream out) {
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
