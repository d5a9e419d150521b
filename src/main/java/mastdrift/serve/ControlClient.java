package mastdrift.serve;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import mastdrift.config.Configuration;
import mastdrift.config.ConfigurationReader;
import mastdrift.config.DistributionReader;
import mastdrift.config.DistributionSettings;
import mastdrift.config.DistributionSettings.Machine;
import mastdrift.config.DistributionSettings.Role;
import mastdrift.config.Problems;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.edge.ControlCodec;
import mastdrift.events.Events;
import mastdrift.files.FileTexts;

/** Sends requests to control machines for an operator, over signed links, under a name of its own. Waits; for each request a bounded time. */
public final class ControlClient implements AutoCloseable {

    /** A machine that has not answered by then is away, in milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 9_000;
    private static final long QUERY_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 200;
    private static final int BITS = 40;

    private final DistributionSettings settings;
    private final ControlLinks links;
    private final Map<Long, CompletableFuture<ControlMessage>> pending = new HashMap<>();  // on the loop's thread
    private final Map<Long, String> sentTo = new HashMap<>();
    private final LinkListener listener = new LinkListener();
    private long lastRequestId;

    /** By the file of a gateway or of a control machine; throws IllegalArgumentException with all that speaks against it, a line each. */
    public static ControlClient by(Path file) {
        List<String> problems = new ArrayList<>();
        DistributionSettings settings = settings(file, problems);
        Secrets secrets = new Secrets(file, System.getenv());
        if (settings != null) {
            problems.addAll(secrets.read(settings.keys()));
        }
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(String.join("\n", problems));
        }
        return new ControlClient(settings, secrets);
    }

    private static DistributionSettings settings(Path file, List<String> problems) {
        String text = new FileTexts(file).text(FileTexts.name(file), new Problems());
        if (text != null && DistributionReader.isControl(FileTexts.name(file), text)) {
            return ControlMachine.settings(file, problems);
        }
        ConfigurationReader.Result result = FileTexts.read(file);
        problems.addAll(result.problems());
        Configuration configuration = result.configuration();
        if (configuration != null && configuration.distribution() == null) {
            problems.add(FileTexts.name(file) + ": expected a table [distribution], found none");
        }
        return configuration == null ? null : configuration.distribution();
    }

    private ControlClient(DistributionSettings settings, Secrets secrets) {
        this.settings = settings;
        String name = "operator-" + Long.toHexString(new SecureRandom().nextLong() >>> 64 - BITS);
        links = new ControlLinks("operator", settings, name, secrets::get, listener, Events.printing(System.err));
    }

    private final class LinkListener implements ControlLinks.Listener {

        @Override
        public void received(String from, boolean reply, byte kind, byte[] message) {
            if (kind == ControlLinks.CONTROL && reply) {
                ControlMessage response = ControlCodec.message(message);
                if (from.equals(sentTo.get(response.requestId()))) {
                    sentTo.remove(response.requestId());
                    pending.remove(response.requestId()).complete(response);
                }
            }
        }

        @Override
        public void outboundClosed(String to) {
            for (Map.Entry<Long, String> each : Map.copyOf(sentTo).entrySet()) {
                if (each.getValue().equals(to)) {
                    sentTo.remove(each.getKey());
                    pending.remove(each.getKey()).complete(new ControlMessage.Unknown(each.getKey(), "no connection"));
                }
            }
        }
    }

    /** Machines of a role that the file names, in the order of the file. */
    public List<String> machines(Role role) {
        return settings.machines(role).stream().map(Machine::name).toList();
    }

    private CompletableFuture<ControlMessage> request(String machine, LongFunction<ControlMessage> message, long millis) {
        CompletableFuture<ControlMessage> response = new CompletableFuture<>();
        links.loop().execute(() -> {
            long requestId = ++lastRequestId;
            pending.put(requestId, response);
            sentTo.put(requestId, machine);
            if (!links.links().send(machine, ControlLinks.CONTROL, ControlCodec.bytes(message.apply(requestId)))) {
                listener.outboundClosed(machine);
            }
            links.loop().schedule(() -> {
                sentTo.remove(requestId);
                if (pending.remove(requestId) != null) {
                    response.complete(new ControlMessage.Unknown(requestId, "no answer"));
                }
            }, millis, TimeUnit.MILLISECONDS);
        });
        return response;
    }

    private static ControlMessage response(CompletableFuture<ControlMessage> of) throws InterruptedException {
        try {
            return of.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);  // nobody completes it so
        }
    }

    /** Has a change agreed on: asks voters in turn, again and again under the same id, until one of them knows what became of it or the time is up. */
    public ControlMessage apply(Change change, long millis) throws InterruptedException {
        List<String> voters = new ArrayList<>(machines(Role.VOTER));
        if (voters.isEmpty()) {
            return new ControlMessage.AskVoter(0, "expected a voter among the machines of the file, found none");
        }
        Collections.shuffle(voters);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        ControlMessage last = null;
        for (int i = 0; last == null || System.nanoTime() < deadline; i++) {
            last = response(request(voters.get(i % voters.size()), requestId -> new ControlMessage.Apply(requestId, change), RESPONSE_TIMEOUT_MILLIS));
            if (!(last instanceof ControlMessage.Unknown) && !(last instanceof ControlMessage.AskVoter)) {
                return last;
            }
            Thread.sleep(RETRY_MILLIS);
        }
        return last;
    }

    /** A resource, as the voter has it that has the newest revision, or where none answers a relay; an {@link ControlMessage.Unknown} where nobody answers. */
    public ControlMessage get(ResourceKind kind, String name) throws InterruptedException {
        ControlMessage.Found newest = null;
        for (Role role : List.of(Role.VOTER, Role.RELAY)) {
            for (ControlMessage each : requestAll(machines(role), requestId -> new ControlMessage.Get(requestId, kind, name)).values()) {
                newest = each instanceof ControlMessage.Found found && (newest == null || found.revision().isAfter(newest.revision())) ? found : newest;
            }
            if (newest != null) {
                return newest;
            }
        }
        return new ControlMessage.Unknown(0, "no machine answers");
    }

    /** How machines do, by name; an {@link ControlMessage.Unknown} for one that doesn't answer. */
    public Map<String, ControlMessage> status(List<String> machines) throws InterruptedException {
        return requestAll(machines, ControlMessage.GetStatus::new);
    }

    /** All at once. */
    private Map<String, ControlMessage> requestAll(List<String> machines, LongFunction<ControlMessage> message) throws InterruptedException {
        Map<String, CompletableFuture<ControlMessage>> futures = new LinkedHashMap<>();
        machines.forEach(each -> futures.put(each, request(each, message, QUERY_TIMEOUT_MILLIS)));
        Map<String, ControlMessage> responses = new LinkedHashMap<>();
        for (Map.Entry<String, CompletableFuture<ControlMessage>> each : futures.entrySet()) {
            responses.put(each.getKey(), response(each.getValue()));
        }
        return responses;
    }

    @Override
    public void close() {
        links.close();
    }
}
