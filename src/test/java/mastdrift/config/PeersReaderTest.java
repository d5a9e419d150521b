package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeersReaderTest {

    private static final String GOOD = """
            [gateway]
            name = "a"
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao"]
            [[class]]
            name = "read"
            effect = "safe"
            aim = "1s"
            deadline = "2s"
            [pool.main]
            nodes = ["main.toml"]
            [peers]
            listen = "127.0.0.1:7401"
            installation = "norte"
            connections = 64
            [[peers.key]]
            secret_file = "key"
            [[peers.gateway]]
            name = "b"
            address = "127.0.0.1:7402"
            [[peers.gateway]]
            name = "c"
            address = "127.0.0.1:7403"
            [agreed]
            begin = "one"
            voters = ["a", "b", "c"]
            """;

    private static ConfigurationReader.Result read(String text) {
        return ConfigurationReader.read("gateway.toml", (file, problems) -> file.equals("gateway.toml") ? text + "# end\n"
                : "[[node]]\nuid = \"n\"\nendpoint = \"127.0.0.1:9\"\nzone = \"bilbao\"\n# end of 1 nodes\n");
    }

    @Test
    void readsPeersAndAgreedTables() {
        Configuration good = read(GOOD).configuration();
        assertEquals(List.of(), read(GOOD).problems());
        assertEquals(new PeerSettings("127.0.0.1:7401", "norte", List.of(new SecretRef(true, "key")), Map.of("b", "127.0.0.1:7402", "c", "127.0.0.1:7403"), 64, null, null),
                good.peers());
        assertEquals(new AgreedSettings("one", List.of("a", "b", "c"), "agreed", 60_000_000, 60_000_000), good.agreed());
    }

    /** Each mistake is reported with its location. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "secret_file = \"key\" | secret_fil = \"key\" | did you mean secret_file?",
        "address = \"127.0.0.1:7402\" | address = \"b:7402\" | gateway[1].address: expected ADDRESS:PORT",
        "address = \"127.0.0.1:7403\" | address = \"127.0.0.1:7402\" | expected each once",
        "name = \"c\" | name = \"b\" | expected each once",
        "connections = 64 | connections = 4 | expected a whole number from 8 to 4096, found 4",
        "installation = \"norte\" | installation = \"two words\" | expected up to 64 letters",
        "voters = [\"a\", \"b\", \"c\"] | voters = [\"a\", \"b\"] | expected 1, 3, 5 or 7 gateways, found 2",
        "voters = [\"a\", \"b\", \"c\"] | voters = [\"a\", \"b\", \"d\"] | found \"d\"",
        "begin = \"one\" | begins = \"one\" | did you mean begin?"})
    void reportsEachMistakeWithItsLocation(String good, String bad, String expectedProblem) {
        assertTrue(GOOD.contains(good), good);
        ConfigurationReader.Result result = read(GOOD.replace(good, bad));
        assertTrue(result.configuration() == null && result.problems().stream().anyMatch(line -> line.contains(expectedProblem)), result.problems().toString());
    }

    @Test
    void rejectsAgreedWithoutPeers() {
        String alone = GOOD.substring(0, GOOD.indexOf("[peers]")) + GOOD.substring(GOOD.indexOf("[agreed]"));
        assertTrue(read(alone).problems().toString().contains("expected a table [peers] as well"));
    }
}
