package mastdrift.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mastdrift.config.Configuration;
import mastdrift.config.ConfigurationReader;
import mastdrift.files.FileContents;
import mastdrift.files.StatusFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code peers}: shows the gateways that one gateway knows of. */
@Command(name = "peers", description = "Shows which gateways a gateway knows of, from the status file of its table [peers].", mixinStandardHelpOptions = true)
final class PeersCommand implements Callable<Integer> {

    private static final int EXIT_ERROR = 1;
    private static final int EXIT_NO_STATUS = 3;

    /** Output format. */
    enum Format { TEXT, JSON }

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the gateway's file")
    private Path file;

    @Option(names = "--form", paramLabel = "FORM", defaultValue = "TEXT", description = "text or json (${DEFAULT-VALUE})")
    private Format format;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        ConfigurationReader.Result result = FileContents.read(file);
        result.problems().forEach(err::println);
        Configuration configuration = result.configuration();
        if (configuration == null) {
            return EXIT_ERROR;
        }
        String name = configuration.peers() == null ? null : configuration.peers().statusFile();
        if (name == null) {
            err.println(file + ": expected a table [peers] with status_file, found " + (configuration.peers() == null ? "no such table" : "none in it"));
            return EXIT_ERROR;
        }
        Map<String, Object> status = new StatusFile(file, name).read();
        if (status == null) {
            err.println(name + ": expected the status written by a gateway, found none; is the gateway running?");
            return EXIT_NO_STATUS;
        }
        if (format == Format.JSON) {
            out.println(JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(status));
        } else {
            printText(status, out);
        }
        return 0;
    }

    private static void printText(Map<String, Object> status, PrintWriter out) {
        out.println("gateway " + status.get("gateway") + " in " + status.get("zone") + ", life " + status.get("life") + ", build " + status.get("build") + ", settings "
                + status.get("settings") + ", written at " + status.get("at"));
        if (Boolean.TRUE.equals(status.get("name_taken"))) {
            out.println("name conflict: another gateway of this installation uses the same name");
        }
        if (status.get("health") instanceof Integer health && health > 0) {
            out.println("degraded: local health " + health + " of 8, 0 is healthy");
        }
        if (status.get("log") instanceof Map<?, ?> log) {
            out.println("agreed log: " + log.get("part") + ("".equals(log.get("why")) ? "" : " (" + log.get("why") + ")") + ", leader "
                    + ("".equals(log.get("leader")) ? "not known" : log.get("leader")) + ", term " + log.get("term") + ", read up to " + log.get("last") + ", voters "
                    + log.get("voters"));
        }
        List<?> members = status.get("members") instanceof List<?> list ? list : List.of();
        out.printf("%-20s %-12s %-10s %10s %10s %-18s %-12s %-8s %s%n", "gateway", "zone", "standing", "since", "heard", "life", "build", "roll",
                "what differs");
        Map<?, ?> rolls = status.get("log") instanceof Map<?, ?> log && log.get("rolls") instanceof Map<?, ?> found ? found : Map.of();
        for (Object each : members) {
            if (each instanceof Map<?, ?> member) {
                String differs = (status.get("settings").equals(member.get("settings")) ? "" : "settings " + member.get("settings") + " ")
                        + (status.get("build").equals(member.get("build")) ? "" : "build");
                out.printf(Locale.ROOT, "%-20s %-12s %-10s %10s %10s %-18s %-12s %-8s %s%n", member.get("name"), member.get("zone"), member.get("standing"),
                        formatSeconds(member.get("since_ms")), formatSeconds(member.get("heard_ms")), member.get("life"), member.get("build"), rolls.get(member.get("name")),
                        differs.isEmpty() ? "nothing" : differs.strip());
            }
        }
    }

    private static String formatSeconds(Object millis) {
        return millis instanceof Number number ? String.format(Locale.ROOT, "%.1f s", number.longValue() / 1e3) : "never";
    }
}
