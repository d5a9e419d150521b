package mastdrift.zones.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.Escrow;
import mastdrift.zones.Flow;
import mastdrift.zones.AccountState;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.Price;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.BudgetWindow;
import mastdrift.zones.ZoneSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Encoded data is read back unchanged, and damaged data is rejected. */
class ZoneStateCodecTest {

    @TempDir
    private Path folder;
    private final List<String> log = new ArrayList<>();

    private static ZoneSnapshot snapshot(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Flow, FlowCounts> flows = new LinkedHashMap<>();
        for (int i = 0; i < 5; i++) {
            long[] values = new long[new FlowCounts().values().length];
            Arrays.setAll(values, n -> random.nextLong(1L << 60));
            flows.put(new Flow("bilbao", i % 2 == 0 ? "oviedo" : "bilbao", "", "c" + i, "p", "t\"ö"),
                    FlowCounts.of(values));
        }
        CrossingBudget budget = new CrossingBudget("m", BudgetWindow.MONTH, CrossingBudget.Unit.MONEY,
                random.nextDouble() * 1e6, "oviedo", null, "t", null, 0.25, true);
        long at = 1_796_000_000_000L + random.nextInt(1_000_000);
        AccountState saved = new AccountState(BudgetWindow.MONTH.startMillis(at), at, random.nextDouble(),
                random.nextDouble(), 0, -random.nextDouble(), 1, 2,
                Map.of("g2", random.nextDouble()), Map.of());
        return new ZoneSnapshot("g", "bilbao", at, flows,
                List.of(new ZoneSnapshot.BudgetStatus(budget, BudgetWindow.MONTH.endMillis(at), 3.5, saved)),
                List.of(new Price("bilbao", "oviedo", 0.02, 0.4)), Map.of("p", List.of("c1")));
    }

    private static byte[] encode(ZoneSnapshot snapshot) throws IOException {
        return ZoneStateCodec.wrap(ZoneStateCodec.STATE_FORMAT, ZoneStateCodec.toMap(snapshot));
    }

    private static ZoneSnapshot decode(byte[] bytes) throws IOException {
        return ZoneStateCodec.snapshot(ZoneStateCodec.unwrap(ZoneStateCodec.STATE_FORMAT, bytes));
    }

    @Test
    void encodedDataIsReadBackUnchanged() throws IOException {
        for (long seed = 0; seed < 50; seed++) {
            ZoneSnapshot one = snapshot(seed);
            ZoneSnapshot other = decode(encode(one));
            assertEquals(one.budgets(), other.budgets());
            assertEquals(one.prices(), other.prices());
            assertEquals(one.overridingClasses(), other.overridingClasses());
            assertEquals(one.flows().keySet(), other.flows().keySet());
            one.flows().forEach((flow, counts) -> assertArrayEquals(counts.values(), other.flows().get(flow).values()));
            Escrow.Announcement announcement = new Escrow.Announcement("g", one.timeMillis(),
                    Map.of("m", new Escrow.BudgetAnnouncement(one.timeMillis(), -3.25, Map.of("h", 0.1))));
            assertEquals(announcement,
                    ZoneStateCodec.announcement(ZoneStateCodec.unwrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT,
                    ZoneStateCodec.wrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT, ZoneStateCodec.toMap(announcement)))));
        }
    }

    /**
     * Every single-bit flip, every truncation, and random edits are rejected, each by an IOException with a message.
     */
    @Test
    void damagedFileIsRejected() throws IOException {
        byte[] file = encode(snapshot(1));
        for (int bit = 0; bit < 8 * file.length; bit++) {
            byte[] changed = file.clone();
            changed[bit / 8] ^= (byte) (1 << bit % 8);
            assertRejected(changed);
        }
        for (int length = 0; length < file.length; length++) {
            assertRejected(Arrays.copyOf(file, length));
        }
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 2_000; i++) {
            byte[] changed = file.clone();
            for (int n = 0; n <= random.nextInt(6); n++) {
                changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            }
            if (!Arrays.equals(changed, file)) {
                assertRejected(changed);
            }
        }
    }

    private static void assertRejected(byte[] bytes) {
        IOException e = assertThrows(IOException.class, () -> decode(bytes),
                () -> new String(bytes, StandardCharsets.ISO_8859_1));
        assertNotNull(e.getMessage());
    }

    /** A correct envelope with invalid content: the message names the field or value. */
    @Test
    void invalidContentIsRejectedWithItsPlace() throws IOException {
        Object[][] table = {{"flows", 3, "flows"}, {"at", "yesterday", "yesterday"}, {"gateway", null, "gateway"},
                {"budgets", List.of(1), "budgets"},
            {"flows", List.of(Map.of("from", "a")), "to"}};
        for (Object[] row : table) {
            Map<String, Object> map = ZoneStateCodec.toMap(snapshot(1));
            map.put((String) row[0], row[1]);
            byte[] bytes = ZoneStateCodec.wrap(ZoneStateCodec.STATE_FORMAT, map);
            IOException e = assertThrows(IOException.class, () -> decode(bytes));
            assertTrue(e.getMessage().contains((String) row[2]), e.getMessage());
        }
        String newer = new String(encode(snapshot(1)), StandardCharsets.UTF_8)
                .replace("\"version\":1", "\"version\":2");
        IOException e = assertThrows(IOException.class, () -> decode(newer.getBytes(StandardCharsets.UTF_8)));
        assertTrue(e.getMessage().contains("newer program"), e.getMessage());
    }

    // ---- files

    private ZoneFileStore files(String gateway, List<Escrow.Announcement> announcements) {
        ZoneSettings settings = new ZoneSettings(List.of(), List.of(), List.of(), List.of(), 1, "report.json", ".",
                ".");
        return new ZoneFileStore(folder.resolve("gateway.toml"), gateway, settings, announcements::add, log::add);
    }

    private static Escrow.Announcement announcement(String gateway) {
        return new Escrow.Announcement(gateway, 1, Map.of());
    }

    @Test
    void stateSurvivesARestartAndAnnouncementsReachPeers() throws IOException {
        List<Escrow.Announcement> announcements = new ArrayList<>();
        try (ZoneFileStore files = files("other", new ArrayList<>())) {
            files.write(snapshot(1), announcement("other"));
        }
        try (ZoneFileStore files = files("g", announcements)) {
            assertNull(files.readSnapshot());
            assertNull(files.readOwnAnnouncement());
            files.write(snapshot(2), announcement("g"));
        }
        assertEquals(List.of(announcement("other")), announcements);
        assertTrue(Files.readString(folder.resolve("report.json")).contains("\"gateway\""));
        try (ZoneFileStore files = files("g", announcements); ZoneFileStore second = files("g", announcements)) {
            assertEquals(snapshot(2).budgets(), files.readSnapshot().budgets());
            assertEquals(announcement("g"), files.readOwnAnnouncement());
            assertNull(second.readSnapshot(), "one process per directory and gateway name");
        }
        assertEquals(1, log.size(), log.toString());
        Files.writeString(folder.resolve("zones-g.state"), "half");
        Files.delete(folder.resolve("budgets-other.json"));
        Files.write(folder.resolve("elsewhere"), ZoneStateCodec.wrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT,
                ZoneStateCodec.toMap(announcement("other"))));
        Files.createSymbolicLink(folder.resolve("budgets-other.json"), folder.resolve("elsewhere"));
        try (ZoneFileStore files = files("g", announcements)) {
            assertNull(files.readSnapshot());
            assertTrue(log.get(1).contains("zones-g.state is not used: expected a first line"), log.toString());
            announcements.clear();
            files.write(snapshot(2), announcement("g"));
        }
        assertEquals(List.of(), announcements, "a symbolic link is not followed");
    }

    @Test
    void missingFolderIsLoggedAndTheRestGoesOn() throws IOException {
        ZoneSettings settings = new ZoneSettings(List.of(), List.of(), List.of(), List.of(), 1, "report.json", "none",
                "none");
        try (ZoneFileStore files = new ZoneFileStore(folder.resolve("gateway.toml"), "g", settings, word -> { },
                log::add)) {
            assertNull(files.readSnapshot());
            files.write(snapshot(1), announcement("g"));
        }
        assertTrue(log.get(0).contains("no state is kept"), log.toString());
        assertTrue(Files.exists(folder.resolve("report.json")));
    }
}
