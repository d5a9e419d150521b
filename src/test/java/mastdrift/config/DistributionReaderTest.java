package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.config.DistributionSettings.Machine;
import mastdrift.config.DistributionSettings.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DistributionReaderTest {

    private static final String MACHINES = """
            [[distribution.key]]
            secret_file = "key"
            [[distribution.machine]]
            name = "control-1"
            address = "127.0.0.1:7501"
            zone = "bilbao"
            role = "voter"
            [[distribution.machine]]
            name = "control-2"
            address = "127.0.0.1:7502"
            zone = "oviedo"
            role = "relay"
            """;
    private static final String GATEWAY = """
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
            [distribution]
            epoch = 3
            installation = "norte"
            role = "gateway"
            folder = "state/config"
            status_file = "config.status"
            """ + MACHINES;
    private static final String CONTROL = """
            [distribution]
            name = "control-1"
            role = "voter"
            epoch = 3
            installation = "norte"
            folder = "state"
            """ + MACHINES;

    private static ConfigurationReader.Result read(String text) {
        return ConfigurationReader.read("gateway.toml", (file, problems) -> file.equals("gateway.toml") ? text + "# end\n"
                : "[[node]]\nuid = \"n\"\nendpoint = \"127.0.0.1:9\"\nzone = \"bilbao\"\n# end of 1 nodes\n");
    }

    private static DistributionReader.Result readControl(String text) {
        return DistributionReader.readControl("control.toml", text + "# end\n");
    }

    @Test
    void readsTheTableOfAGateway() {
        assertEquals(List.of(), read(GATEWAY).problems());
        DistributionSettings settings = read(GATEWAY).configuration().distribution();
        Machine voter = new Machine("control-1", "127.0.0.1:7501", "bilbao", Role.VOTER);
        Machine relay = new Machine("control-2", "127.0.0.1:7502", "oviedo", Role.RELAY);
        assertEquals(new DistributionSettings(3, "norte", List.of(new SecretRef(true, "key")), "a", "bilbao", Role.GATEWAY, null, "state/config", "config.status", 0,
                List.of(voter, relay)), settings);
        assertEquals(List.of(relay), settings.publishers(), "no gateway speaks to a voter where there is a relay");
        assertEquals(List.of(voter), read(GATEWAY.replace("role = \"relay\"", "role = \"voter\"")).configuration().distribution().publishers().subList(0, 1));
        assertNull(read(GATEWAY.substring(0, GATEWAY.indexOf("[distribution]"))).configuration().distribution(), "off");
    }

    @Test
    void readsTheFileOfAControlMachine() {
        assertEquals(List.of(), readControl(CONTROL).problems());
        DistributionSettings settings = readControl(CONTROL).settings();
        assertEquals("control-1 bilbao VOTER 127.0.0.1:7501 4096", settings.name() + " " + settings.zone() + " " + settings.role() + " " + settings.listen() + " " + settings.maxConnections());
        assertEquals(Role.VOTER, settings.publishers().get(0).role());
        assertEquals("0.0.0.0:7501", readControl(CONTROL.replace("folder =", "listen = \"0.0.0.0:7501\"\nfolder =")).settings().listen());
        assertTrue(DistributionReader.isControl("control.toml", CONTROL));
        assertFalse(DistributionReader.isControl("gateway.toml", GATEWAY));
        assertFalse(DistributionReader.isControl("gateway.toml", "no TOML ="));
    }

    /** Each mistake is reported with its location. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "epoch = 3 | epoch = 0 | gateway.toml:14:1: distribution.epoch: expected a whole number from 1 to 9007199254740992, found 0",
        "epoch = 3 | # none | distribution.epoch: expected a whole number from 1 to 9007199254740992, found nothing",
        "epoch = 3 | epoh = 3 | did you mean epoch?",
        "installation = \"norte\" | installation = \"two words\" | distribution.installation: expected up to 64 letters",
        "folder = \"state/config\" | # none | distribution.folder: expected a text, found nothing",
        "role = \"gateway\" | role = \"voter\" | distribution.role: expected gateway, for this file has a table [gateway]",
        "role = \"relay\" | role = \"gateway\" | machine[2].role: expected one of relay, voter, found \"gateway\"",
        "role = \"relay\" | # none | machine[2].role: expected relay or voter, found nothing",
        "name = \"control-2\" | name = \"control-1\" | machine[2].name: expected each once, found \"control-1\" again",
        "name = \"control-2\" | name = \"a\" | expected machines with names other than this gateway's, found \"a\"",
        "address = \"127.0.0.1:7502\" | address = \"oviedo:7502\" | machine[2].address: expected ADDRESS:PORT in digits",
        "zone = \"oviedo\" | zone = \"two words\" | machine[2].zone: expected up to 64 letters",
        "secret_file = \"key\" | # none | expected secret_file or secret_variable, found neither"})
    void reportsEachMistakeOfAGatewayWithItsLocation(String good, String bad, String expectedProblem) {
        assertTrue(GATEWAY.contains(good), good);
        ConfigurationReader.Result result = read(GATEWAY.replace(good, bad));
        assertTrue(result.configuration() == null && result.problems().stream().anyMatch(line -> line.contains(expectedProblem)), result.problems().toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "name = \"control-1\"\\nrole | name = \"control-9\"\\nrole | distribution.name: expected one of the machines (control-1, control-2), found \"control-9\"; did you mean control-1?",
        "role = \"voter\"\\nepoch | role = \"relay\"\\nepoch | distribution.role: expected the role of machine control-1 in [[distribution.machine]], voter, found relay",
        "role = \"relay\" | role = \"voter\" | expected 1, 3, 5 or 7 machines that are voters, found 2",
        "folder = \"state\" | folder = \"state\"\\nconnections = 3 | expected a whole number from 8 to 8192, found 3"})
    void reportsEachMistakeOfAControlMachine(String good, String bad, String expectedProblem) {
        String from = good.replace("\\n", "\n");
        assertTrue(CONTROL.contains(from), from);
        DistributionReader.Result result = readControl(CONTROL.replace(from, bad.replace("\\n", "\n")));
        assertTrue(result.settings() == null && result.problems().stream().anyMatch(line -> line.contains(expectedProblem)), result.problems().toString());
    }

    @Test
    void rejectsFilesOfOtherKindsAndTruncatedFiles() {
        assertTrue(readControl("[peers]\nlisten = \"127.0.0.1:1\"\n").problems().toString().contains("expected a table [distribution], found none"));
        assertTrue(readControl(CONTROL + "[pool]\n").problems().toString().contains("pool"));
        assertTrue(DistributionReader.readControl("control.toml", CONTROL).problems().toString().contains("closing line"), "a truncated file");
    }

    @Test
    void rejectsMoreMachinesThanTheMaximum() {
        StringBuilder many = new StringBuilder(GATEWAY);
        for (int i = 3; i <= DistributionSettings.MAX_MACHINES + 1; i++) {
            many.append("[[distribution.machine]]\nname = \"control-").append(i).append("\"\naddress = \"127.0.0.1:").append(7500 + i).append("\"\nzone = \"z\"\nrole = \"relay\"\n");
        }
        assertTrue(read(many.toString()).problems().toString().contains("expected at most 64 tables"));
    }
}
