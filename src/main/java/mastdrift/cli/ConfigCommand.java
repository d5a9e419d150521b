package mastdrift.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mastdrift.config.ChangeReader;
import mastdrift.config.DistributionSettings.Role;
import mastdrift.config.Problems;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Message.ZoneSummary;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Summaries;
import mastdrift.files.FileTexts;
import mastdrift.serve.ControlClient;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask control machines. */
@Command(name = "config", description = "Changes and shows the configuration that control machines distribute.", mixinStandardHelpOptions = true,
        subcommands = {ConfigCommand.Apply.class, ConfigCommand.Get.class, ConfigCommand.Status.class})
final class ConfigCommand implements Runnable {

    private static final int REFUSED = 1;
    private static final int WORDS = 2;
    private static final int NOTHING = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected apply, get or status");
    }

    /** What a subcommand asks. */
    private interface Asking {
        int ask(ControlClient client, PrintWriter out, PrintWriter err) throws InterruptedException;
    }

    private static int by(Path config, CommandLine.Model.CommandSpec spec, Asking asking) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        try (ControlClient client = ControlClient.by(config)) {
            return asking.ask(client, out, err);
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage());
            return REFUSED;
        }
    }

    private static String shown(Revision revision) {
        return revision == null ? "none" : "revision " + revision.number() + " of epoch " + revision.epoch();
    }

    @Command(name = "apply", description = "Has a change agreed on, whole or not at all.", mixinStandardHelpOptions = true)
    static final class Apply implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the change: [[upsert]] and [[delete]] in TOML")
        private Path file;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine, which names the voters and the key")
        private Path config;

        @Option(names = "--id", paramLabel = "ID", description = "the change's id, where its file has none: asked again under the same id it is in once (a random one)")
        private String id;

        @Option(names = "--seconds", paramLabel = "N", defaultValue = "30", description = "for how long voters are asked, 1 to 600 (${DEFAULT-VALUE})")
        private int seconds;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter err = spec.commandLine().getErr();
            if (seconds < 1 || seconds > 600) {
                err.println("--seconds: expected 1 to 600, found " + seconds);
                return WORDS;
            }
            Problems unread = new Problems();
            String text = new FileTexts(file).text(FileTexts.name(file), unread);
            unread.lines().forEach(err::println);
            if (text == null) {
                return REFUSED;
            }
            ChangeReader.Result read = ChangeReader.read(FileTexts.name(file), text, id == null ? Long.toHexString(new SecureRandom().nextLong()) : id);
            read.problems().forEach(err::println);
            return read.change() == null ? REFUSED : by(config, spec, (client, out, errors) -> answer(read.change().id(), client.apply(read.change(), seconds * 1_000L), out, errors));
        }

        private static int answer(String id, ControlMessage answer, PrintWriter out, PrintWriter err) {
            if (answer instanceof ControlMessage.Applied applied) {
                out.println("change " + id + ": " + (applied.revision() == null ? "was agreed on before; what it made is no longer known there, see config get" : "in, " + shown(applied.revision())));
                return 0;
            }
            if (answer instanceof ControlMessage.Conflicted conflicted) {
                err.println("change " + id + ": conflict, nothing is changed: " + conflicted.reason());
                return REFUSED;
            }
            if (answer instanceof ControlMessage.Refused refused) {
                refused.problems().forEach(each -> err.println("change " + id + ": refused: " + each));
                return REFUSED;
            }
            err.println("change " + id + ": not known whether it is in (" + (answer instanceof ControlMessage.Unknown unknown ? unknown.why() : answer instanceof ControlMessage.AskVoter ask ? ask.why()
                    : "another answer") + "); ask again with --id " + id);
            return NOTHING;
        }
    }

    @Command(name = "get", description = "Shows a resource.", mixinStandardHelpOptions = true)
    static final class Get implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "KIND", description = "route, pool, tenant or host")
        private String kind;

        @Parameters(index = "1", paramLabel = "NAME", description = "the resource's")
        private String name;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine")
        private Path config;

        @Override
        public Integer call() throws InterruptedException {
            ResourceKind of = ChangeReader.kind(kind);
            if (of == null || name.isEmpty() || name.length() > Resource.NAME_MOST) {
                spec.commandLine().getErr().println(of == null ? "KIND: expected route, pool, tenant or host, found \"" + kind + '"' : "NAME: expected 1 to " + Resource.NAME_MOST
                        + " characters, found " + name.length());
                return WORDS;
            }
            return by(config, spec, (client, out, err) -> {
                ControlMessage answer = client.get(of, name);
                if (!(answer instanceof ControlMessage.Found found)) {
                    err.println("no control machine answers");
                    return NOTHING;
                }
                if (found.resource() == null) {
                    err.println(kind + " " + name + ": none at " + shown(found.revision()));
                    return NOTHING;
                }
                out.println(kind + " " + name + ": version " + found.resource().version() + ", at " + shown(found.revision()));
                out.println(new String(found.resource().value(), StandardCharsets.UTF_8));
                return 0;
            });
        }
    }

    @Command(name = "status", description = "Shows what control machines have, and what is in force at their gateways.", mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine")
        private Path config;

        @Override
        public Integer call() throws InterruptedException {
            return by(config, spec, Status::ask);
        }

        private static int ask(ControlClient client, PrintWriter out, PrintWriter err) throws InterruptedException {
            List<String> all = new ArrayList<>(client.machines(Role.VOTER));
            all.addAll(client.machines(Role.RELAY));
            boolean byVoters = !client.machines(Role.VOTER).isEmpty();
            Summaries zones = new Summaries();
            Revision newest = null;
            int answers = 0;
            for (Map.Entry<String, ControlMessage> each : client.status(all).entrySet()) {
                String name = each.getKey();
                if (each.getValue() instanceof ControlMessage.Status status) {
                    answers++;
                    newest = newest == null || status.revision().after(newest) ? status.revision() : newest;
                    out.println(String.format(Locale.ROOT, "%-20s %-6s %s, %d subscribers%s%s", name, status.role(), shown(status.revision()), status.subscribers(),
                            status.leader().isEmpty() ? "" : ", leader " + status.leader(), status.aloneMillis() == 0 ? "" : ", hears nobody for " + status.aloneMillis() / 1_000 + " s"));
                    if (!byVoters || status.role().equals("voter")) {
                        status.zones().forEach(zones::add);
                    }
                } else {
                    out.println(String.format(Locale.ROOT, "%-20s %-6s no answer", name, client.machines(Role.VOTER).contains(name) ? "voter" : "relay"));
                }
            }
            for (ZoneSummary each : zones.zones()) {
                out.println("zone " + each.zone() + ": " + each.subscribers() + " subscribers, lowest in force " + shown(each.lowest()) + ", " + each.refused() + " hold something back"
                        + (each.lagging().isEmpty() ? "" : ", behind: " + String.join(" ", each.lagging())));
            }
            if (answers == 0) {
                err.println("no control machine answers");
                return NOTHING;
            }
            out.println("newest: " + shown(newest));
            return 0;
        }
    }
}
