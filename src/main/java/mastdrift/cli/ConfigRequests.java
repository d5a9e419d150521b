package mastdrift.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mastdrift.config.ChangeReader;
import mastdrift.config.DistributionSettings.Role;
import mastdrift.config.Problems;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Message.ZoneSummary;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.distribution.ZoneSummaries;
import mastdrift.files.FileContents;
import mastdrift.serve.ControlClient;

/**
 * Sends the requests of {@link ConfigCommand} to control machines and prints the responses. A class of its own, because
 * types in the method signatures of command classes are loaded with every command.
 */
final class ConfigRequests {

    private static final int EXIT_REFUSED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_NO_RESULT = 3;

    private final PrintWriter out;
    private final PrintWriter err;

    ConfigRequests(PrintWriter out, PrintWriter err) {
        this.out = out;
        this.err = err;
    }

    /** A request to control machines; returns the exit status. */
    private interface Request {
        int send(ControlClient client) throws InterruptedException;
    }

    private int withClient(Path config, Request request) throws InterruptedException {
        try (ControlClient client = ControlClient.fromFile(config)) {
            return request.send(client);
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage());
            return EXIT_REFUSED;
        }
    }

    private static String describe(Revision revision) {
        return revision == null ? "none" : "revision " + revision.number() + " of epoch " + revision.epoch();
    }

    int apply(Path config, Path file, String id, int seconds) throws InterruptedException {
        if (seconds < 1 || seconds > 600) {
            err.println("--seconds: expected 1 to 600, found " + seconds);
            return EXIT_USAGE;
        }
        Problems fileProblems = new Problems();
        String text = new FileContents(file).text(FileContents.displayName(file), fileProblems);
        fileProblems.lines().forEach(err::println);
        if (text == null) {
            return EXIT_REFUSED;
        }
        ChangeReader.Result result = ChangeReader.read(FileContents.displayName(file), text, id == null ? Long.toHexString(new SecureRandom().nextLong()) : id);
        result.problems().forEach(err::println);
        return result.change() == null ? EXIT_REFUSED : withClient(config, client -> printResponse(result.change().id(), client.apply(result.change(), seconds * 1_000L)));
    }

    private int printResponse(String id, ControlMessage response) {
        if (response instanceof ControlMessage.Applied applied) {
            out.println("change " + id + ": " + (applied.revision() == null ? "was committed before; its revision is no longer known there, see config get" : "in, " + describe(applied.revision())));
            return 0;
        }
        if (response instanceof ControlMessage.Conflicted conflicted) {
            err.println("change " + id + ": conflict, nothing is changed: " + conflicted.reason());
            return EXIT_REFUSED;
        }
        if (response instanceof ControlMessage.Refused refused) {
            refused.problems().forEach(problem -> err.println("change " + id + ": refused: " + problem));
            return EXIT_REFUSED;
        }
        err.println("change " + id + ": not known whether it was committed (" + (response instanceof ControlMessage.Unknown unknown ? unknown.reason() : response instanceof ControlMessage.AskVoter askVoter ? askVoter.reason()
                : "unexpected response") + "); retry with --id " + id);
        return EXIT_NO_RESULT;
    }

    int get(Path config, String kind, String name) throws InterruptedException {
        ResourceKind resourceKind = ChangeReader.kind(kind);
        if (resourceKind == null || name.isEmpty() || name.length() > Resource.MAX_NAME_CHARS) {
            err.println(resourceKind == null ? "KIND: expected route, pool, tenant or host, found \"" + kind + '"' : "NAME: expected 1 to " + Resource.MAX_NAME_CHARS + " characters, found " + name.length());
            return EXIT_USAGE;
        }
        return withClient(config, client -> {
            ControlMessage response = client.get(resourceKind, name);
            if (!(response instanceof ControlMessage.Found found)) {
                err.println("no control machine answers");
                return EXIT_NO_RESULT;
            }
            if (found.resource() == null) {
                err.println(kind + " " + name + ": none at " + describe(found.revision()));
                return EXIT_NO_RESULT;
            }
            out.println(kind + " " + name + ": version " + found.resource().version() + ", at " + describe(found.revision()));
            out.println(new String(found.resource().value(), StandardCharsets.UTF_8));
            return 0;
        });
    }

    int status(Path config) throws InterruptedException {
        return withClient(config, this::status);
    }

    private int status(ControlClient client) throws InterruptedException {
        List<String> machines = new ArrayList<>(client.machines(Role.VOTER));
        machines.addAll(client.machines(Role.RELAY));
        boolean votersOnly = !client.machines(Role.VOTER).isEmpty();
        ZoneSummaries zones = new ZoneSummaries();
        Revision newest = null;
        int responses = 0;
        for (Map.Entry<String, ControlMessage> machine : client.status(machines).entrySet()) {
            String name = machine.getKey();
            if (machine.getValue() instanceof ControlMessage.Status status) {
                responses++;
                newest = newest == null || status.revision().isAfter(newest) ? status.revision() : newest;
                out.println(String.format(Locale.ROOT, "%-20s %-6s %s, %d subscribers%s%s", name, status.role(), describe(status.revision()), status.subscribers(),
                        status.leader().isEmpty() ? "" : ", leader " + status.leader(), status.disconnectedMillis() == 0 ? "" : ", isolated for " + status.disconnectedMillis() / 1_000 + " s"));
                if (!votersOnly || status.role().equals("voter")) {
                    status.zones().forEach(zones::add);
                }
            } else {
                out.println(String.format(Locale.ROOT, "%-20s %-6s no answer", name, client.machines(Role.VOTER).contains(name) ? "voter" : "relay"));
            }
        }
        for (ZoneSummary zone : zones.zones()) {
            out.println("zone " + zone.zone() + ": " + zone.subscribers() + " subscribers, lowest in force " + describe(zone.lowest()) + ", " + zone.rejecting() + " hold something back"
                    + (zone.lagging().isEmpty() ? "" : ", behind: " + String.join(" ", zone.lagging())));
        }
        if (responses == 0) {
            err.println("no control machine answers");
            return EXIT_NO_RESULT;
        }
        out.println("newest: " + describe(newest));
        return 0;
    }
}
