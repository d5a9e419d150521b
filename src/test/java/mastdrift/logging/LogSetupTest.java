package mastdrift.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import org.junit.jupiter.api.Test;

/** The formats and the bounds of the event log. */
class LogSetupTest {

    private static final int WAIT_SECONDS = 30;

    private static List<String> lines(LogSetup.Format format, int events, int names) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (LogSetup log = new LogSetup(out, format)) {
            for (int i = 0; i < events; i++) {
                log.events().event(i == 0 ? Level.INFO : Level.ERROR, "name_" + i % names, "a text\nwith two lines", "pool", "main", "count", i);
            }
        }
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void writesNameLevelTextAndFieldsAsTextAndAsJson() throws Exception {
        String text = lines(LogSetup.Format.TEXT, 1, 1).get(0);
        assertTrue(text.matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z INFO  a text with two lines event=\"name_0\" pool=\"main\" "
                + "count=\"0\""), text);
        List<String> json = lines(LogSetup.Format.JSON, 2, 2);
        assertEquals(2, json.size());
        var object = JSON.std.mapFrom(json.get(1));
        assertEquals("ERROR", object.get("level"));
        assertEquals("a text with two lines", object.get("formattedMessage"));
        assertTrue(object.get("kvpList").toString().contains("name_1"), object.toString());
        assertEquals(LogSetup.Format.JSON, LogSetup.Format.parse("json"));
        assertThrows(IllegalArgumentException.class, () -> LogSetup.Format.parse("xml"));
    }

    /**
     * One name can't fill the log: its events beyond the limit in a second are suppressed and counted, and the count is
     * logged.
     */
    @Test
    void suppressesAndCountsEventsOfOneNameBeyondTheRateLimit() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (LogSetup log = new LogSetup(out, LogSetup.Format.TEXT)) {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (!out.toString(StandardCharsets.UTF_8).contains("log_suppressed")) {
                assertTrue(System.nanoTime() < until, "the count is logged in the next second");
                for (int i = 0; i < 100; i++) {
                    log.events().event(Level.INFO, "loud", "loud");
                }
                log.events().event(Level.INFO, "quiet", "quiet");
                Thread.sleep(30);
            }
        }
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertTrue(lines.stream().filter(line -> line.contains("\"loud\"")).count() <= 3 * BoundedLog.MAX_EVENTS_PER_SECOND, "two or three seconds");
        assertTrue(lines.stream().anyMatch(line -> line.contains("\"quiet\"")));
        assertTrue(lines.stream().anyMatch(line -> line.matches(".* WARN  \\d+ events loud were suppressed.*event=\"log_suppressed\" count=.*")));
    }

    /** A blocked sink blocks no caller: events that find no room are dropped and counted, and the count is logged. */
    @Test
    void dropsAndCountsEventsWithoutBlockingWhenTheSinkIsBlocked() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) {
                throw new IllegalStateException("expected whole lines");
            }

            @Override
            public void write(byte[] bytes, int from, int length) {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                synchronized (written) {
                    written.write(bytes, from, length);
                }
            }
        };
        try (LogSetup log = new LogSetup(blocked, LogSetup.Format.TEXT, 16)) {
            Events events = log.events();
            long since = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                events.event(Level.INFO, "n" + i, "x");
            }
            assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(10), "no caller was blocked");
            long dropped = log.dropped();
            assertTrue(dropped >= 200 - 3 * 16 && dropped < 200, "dropped " + dropped);  // a batch may be in progress
            released.countDown();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            String text = "";
            // the count may be spread over several lines, if events were accepted in between
            for (int i = 0; reportedDropped(text) < dropped; i++) {
                assertTrue(System.nanoTime() < until, text);
                events.event(Level.INFO, "later" + i, "y");
                Thread.sleep(5);
                synchronized (written) {
                    text = written.toString(StandardCharsets.UTF_8);
                }
            }
        }
    }

    private static long reportedDropped(String text) {
        return Pattern.compile("WARN  (\\d+) events were dropped").matcher(text).results()
                .mapToLong(match -> Long.parseLong(match.group(1))).sum();
    }
}
