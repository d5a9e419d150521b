package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.settings.AddressRange;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.ClientNetworks;
import mastdrift.zones.Price;
import mastdrift.zones.BudgetWindow;
import mastdrift.zones.ZoneSettings;
import org.junit.jupiter.api.Test;

/** The table [zones]: its meaning, and how invalid values are reported. */
class ZonesReaderTest {

    private static final String HEAD = """
            [gateway]
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao", "oviedo"]
            [[class]]
            name = "read"
            effect = "safe"
            aim = "1s"
            deadline = "2s"
            [pool.main]
            nodes = ["main.toml"]
            """;

    private static ConfigurationReader.Result read(String zones) {
        return ConfigurationReader.read("gateway.toml", (file, problems) -> file.equals("gateway.toml") ? HEAD + zones + "\n# end\n"
                : "[[node]]\nuid = \"a\"\nendpoint = \"127.0.0.1:1\"\nzone = \"bilbao\"\n# end of 1 nodes\n");
    }

    @Test
    void zonesAreNullWithoutTheTable() {
        assertNull(read("").configuration().zones());
        assertEquals(List.of(), read("[zones]").configuration().zones().budgets());
    }

    @Test
    void readsAllTables() {
        ConfigurationReader.Result result = read("""
                [zones]
                give_way = ["read"]
                calm = "10s"
                report_file = "zones.json"
                [[zones.price]]
                from = "bilbao"
                to = "oviedo"
                per_gib = 0.02
                [[zones.client]]
                network = "10.1.0.0/16"
                zone = "oviedo"
                [[zones.budget]]
                name = "month"
                window = "month"
                bytes = "1.5GiB"
                class = "read"
                pool = "main"
                to = "oviedo"
                carry_most = 0.25
                [[zones.budget]]
                name = "hard"
                window = "minute"
                requests = 0
                hard = true
                """);
        assertEquals(List.of(), result.problems());
        ZoneSettings zones = result.configuration().zones();
        assertEquals(List.of(new CrossingBudget("month", BudgetWindow.MONTH, CrossingBudget.Unit.BYTES, 1.5 * (1 << 30), "oviedo", "read", null, "main", 0.25, false),
                new CrossingBudget("hard", BudgetWindow.MINUTE, CrossingBudget.Unit.REQUESTS, 0, null, null, null, null, 0, true)), zones.budgets());
        assertEquals(List.of(new Price("bilbao", "oviedo", 0.02, 0)), zones.prices());
        assertEquals(List.of(new ClientNetworks.Network(AddressRange.parse("10.1.0.0/16"), "oviedo")), zones.networks());
        assertEquals(10_000_000, zones.recoveryDelayMicros());
        assertNotNull(zones.reportFile());
    }

    @Test
    void reportsInvalidValues() {
        String budget = "[[zones.budget]]\nname = \"b\"\nwindow = \"hour\"\n";
        String[][] table = {
            {"[zones]\ngive_way = [\"reed\"]", "did you mean read"}, {"[zones]\ngive_way = [\"read\", \"read\"]", "expected each once"},
            {"[zones]\nclam = \"3s\"", "did you mean calm"}, {budget, "expected one of bytes, requests and money, found none"},
            {budget + "requests = 1\nbytes = \"1B\"", "found bytes, requests"}, {budget + "bytes = 5", "an amount with a unit"},
            {budget + "bytes = \"9000000TiB\"", "2^53"}, {budget + "requests = -1", "from 0 to"}, {budget + "money = 1", "expected prices"},
            {budget + "requests = 1\nto = \"bilbao\"", "another zone than the gateway's own"}, {budget + "requests = 1\nto = \"ovied\"", "did you mean oviedo"},
            {budget + "requests = 1\n" + budget + "requests = 1", "expected each once"}, {budget.replace("hour", "week") + "requests = 1", "one of minute, hour, day, month"},
            {budget + "requests = 1\ncarry_most = 2", "from 0 to 1"}, {budget + "requests = 1\npool = \"mian\"", "did you mean main"},
            {"[[zones.price]]\nfrom = \"bilbao\"\nto = \"bilbao\"", "two zones"}, {"[[zones.price]]\nfrom = \"bilbao\"", "expected a text, found nothing"},
            {"[[zones.client]]\nnetwork = \"10.0.0/8\"\nzone = \"oviedo\"", "ADDRESS/PREFIX"},
            {"[[zones.client]]\nnetwork = \"10.0.0.0/33\"\nzone = \"oviedo\"", "ADDRESS/PREFIX"}};
        for (String[] row : table) {
            ConfigurationReader.Result result = read(row[0]);
            assertNull(result.configuration(), row[0]);
            assertTrue(result.problems().stream().anyMatch(line -> line.startsWith("gateway.toml:") && line.contains(row[1])),
                    row[0] + " -> " + result.problems());
        }
    }
}
