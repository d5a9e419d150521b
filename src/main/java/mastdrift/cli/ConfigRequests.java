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
import mastdrift.files.FileTexts;
import mastdrift.serve.ControlClient;

/** Requests of {@link ConfigCommand} to control machines, and how it shows the responses. Apart from the commands, whose methods' types are loaded with every command. */
final class ConfigRequests {

    private static final int REFUSED = 1;
    private static final int WORDS = 2;
    private static final int NOTHING = 3;

    private final PrintWriter out;
    private final PrintWriter err;

    ConfigRequests(PrintWriter out, PrintWriter err) {
        this.out = out;
        this.err = err;
    }

    private interface Request {
        int send(ControlClient client) throws InterruptedException;
    }

    private int by(Path config, Request request) throws InterruptedException {
        try (ControlClient client = ControlClient.by(config)) {
            return request.send(client);
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage());
            return REFUSED;
        }
    }

    private static String shown(Revision revision) {
        return revision == null ? "none" : "revision " + revision.number() + " of epoch " + revision.epoch();
    }

    int apply(Path config, Path file, String id, int seconds) throws InterruptedException {
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
        return read.change() == null ? REFUSED : by(config, client -> answer(read.change().id(), client.apply(read.change(), seconds * 1_000L)));
    }

    private int answer(String id, ControlMessage answer) {
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
        err.println("change " + id + ": not known whether it is in (" + (answer instanceof ControlMessage.Unknown unknown ? unknown.reason() : answer instanceof ControlMessage.AskVoter ask ? ask.reason()
                : "another answer") + "); ask again with --id " + id);
        return NOTHING;
    }

    int get(Path config, String kind, String name) throws InterruptedException {
        ResourceKind of = ChangeReader.kind(kind);
        if (of == null || name.isEmpty() || name.length() > Resource.MAX_NAME_CHARS) {
            err.println(of == null ? "KIND: expected route, pool, tenant or host, found \"" + kind + '"' : "NAME: expected 1 to " + Resource.MAX_NAME_CHARS + " characters, found " + name.length());
            return WORDS;
        }
        return by(config, client -> {
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

    int status(Path config) throws InterruptedException {
        return by(config, this::status);
    }

    private int status(ControlClient client) throws InterruptedException {
        List<String> all = new ArrayList<>(client.machines(Role.VOTER));
        all.addAll(client.machines(Role.RELAY));
        boolean byVoters = !client.machines(Role.VOTER).isEmpty();
        ZoneSummaries zones = new ZoneSummaries();
        Revision newest = null;
        int answers = 0;
        for (Map.Entry<String, ControlMessage> each : client.status(all).entrySet()) {
            String name = each.getKey();
            if (each.getValue() instanceof ControlMessage.Status status) {
                answers++;
                newest = newest == null || status.revision().isAfter(newest) ? status.revision() : newest;
                out.println(String.format(Locale.ROOT, "%-20s %-6s %s, %d subscribers%s%s", name, status.role(), shown(status.revision()), status.subscribers(),
                        status.leader().isEmpty() ? "" : ", leader " + status.leader(), status.disconnectedMillis() == 0 ? "" : ", hears nobody for " + status.disconnectedMillis() / 1_000 + " s"));
                if (!byVoters || status.role().equals("voter")) {
                    status.zones().forEach(zones::add);
                }
            } else {
                out.println(String.format(Locale.ROOT, "%-20s %-6s no answer", name, client.machines(Role.VOTER).contains(name) ? "voter" : "relay"));
            }
        }
        for (ZoneSummary each : zones.zones()) {
            out.println("zone " + each.zone() + ": " + each.subscribers() + " subscribers, lowest in force " + shown(each.lowest()) + ", " + each.rejecting() + " hold something back"
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
