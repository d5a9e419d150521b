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
import mastdrift.files.FileContents;

/**
 * Sends an operator's requests to control machines over authenticated links, under a random client name. Calls block,
 * each for a bounded time.
 */
public final class ControlClient implements AutoCloseable {

    /** A machine that has not answered within this time is treated as unavailable. */
    static final long RESPONSE_TIMEOUT_MILLIS = 9_000;
    private static final long QUERY_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_INTERVAL_MILLIS = 200;
    private static final int NAME_RANDOM_BITS = 40;

    private final DistributionSettings settings;
    private final ControlLinks links;
    // accessed on the event loop only
    private final Map<Long, CompletableFuture<ControlMessage>> pending = new HashMap<>();
    private final Map<Long, String> sentTo = new HashMap<>();
    private final LinkListener listener = new LinkListener();
    private long lastRequestId;

    /**
     * A client with the machines and keys of a gateway's or control machine's file; throws IllegalArgumentException
     * with all problems of that file, a line each.
     */
    public static ControlClient fromFile(Path file) {
        List<String> problems = new ArrayList<>();
        DistributionSettings settings = readSettings(file, problems);
        Secrets secrets = new Secrets(file, System.getenv());
        if (settings != null) {
            problems.addAll(secrets.read(settings.keys()));
        }
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(String.join("\n", problems));
        }
        return new ControlClient(settings, secrets);
    }

    private static DistributionSettings readSettings(Path file, List<String> problems) {
        String text = new FileContents(file).text(FileContents.displayName(file), new Problems());
        if (text != null && DistributionReader.isControl(FileContents.displayName(file), text)) {
            return ControlMachine.readSettings(file, problems);
        }
        ConfigurationReader.Result result = FileContents.read(file);
        problems.addAll(result.problems());
        Configuration configuration = result.configuration();
        if (configuration != null && configuration.distribution() == null) {
            problems.add(FileContents.displayName(file) + ": expected a table [distribution], found none");
        }
        return configuration == null ? null : configuration.distribution();
    }

    private ControlClient(DistributionSettings settings, Secrets secrets) {
        this.settings = settings;
        String name = "operator-" + Long.toHexString(new SecureRandom().nextLong() >>> 64 - NAME_RANDOM_BITS);
        links = new ControlLinks("operator", settings, name, secrets::get, listener, Events.printing(System.err));
    }

    private final class LinkListener implements ControlLinks.Listener {

        @Override
        public void received(String from, boolean reply, byte kind, byte[] message) {
            if (kind == ControlLinks.CONTROL_KIND && reply) {
                ControlMessage response = ControlCodec.decode(message);
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

    /** Names of the machines that have this role in the file, in its order. */
    public List<String> machines(Role role) {
        return settings.machines(role).stream().map(Machine::name).toList();
    }

    private CompletableFuture<ControlMessage> request(String machine, LongFunction<ControlMessage> message, long timeoutMillis) {
        CompletableFuture<ControlMessage> response = new CompletableFuture<>();
        links.loop().execute(() -> {
            long requestId = ++lastRequestId;
            pending.put(requestId, response);
            sentTo.put(requestId, machine);
            if (!links.links().send(machine, ControlLinks.CONTROL_KIND, ControlCodec.encode(message.apply(requestId)))) {
                listener.outboundClosed(machine);
            }
            links.loop().schedule(() -> {
                sentTo.remove(requestId);
                if (pending.remove(requestId) != null) {
                    response.complete(new ControlMessage.Unknown(requestId, "no answer"));
                }
            }, timeoutMillis, TimeUnit.MILLISECONDS);
        });
        return response;
    }

    private static ControlMessage awaitResponse(CompletableFuture<ControlMessage> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);  // cannot happen: the future is never completed exceptionally
        }
    }

    /**
     * Submits a change: asks the voters in turn, always with the same change id, until one of them knows the outcome or
     * the time is up.
     */
    public ControlMessage apply(Change change, long timeoutMillis) throws InterruptedException {
        List<String> voters = new ArrayList<>(machines(Role.VOTER));
        if (voters.isEmpty()) {
            return new ControlMessage.AskVoter(0, "expected a voter among the machines of the file, found none");
        }
        Collections.shuffle(voters);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        ControlMessage last = null;
        for (int i = 0; last == null || System.nanoTime() < deadlineNanos; i++) {
            last = awaitResponse(request(voters.get(i % voters.size()), requestId -> new ControlMessage.Apply(requestId, change), RESPONSE_TIMEOUT_MILLIS));
            if (!(last instanceof ControlMessage.Unknown) && !(last instanceof ControlMessage.AskVoter)) {
                return last;
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
        return last;
    }

    /**
     * A resource from the voter with the newest revision, or from a relay if no voter answers; an {@link
     * ControlMessage.Unknown} if no machine answers.
     */
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

    /** The status of each machine, by name; an {@link ControlMessage.Unknown} for one that doesn't answer. */
    public Map<String, ControlMessage> status(List<String> machines) throws InterruptedException {
        return requestAll(machines, ControlMessage.GetStatus::new);
    }

    /** Sends a request to all machines concurrently and collects the responses. */
    private Map<String, ControlMessage> requestAll(List<String> machines, LongFunction<ControlMessage> message) throws InterruptedException {
        Map<String, CompletableFuture<ControlMessage>> futures = new LinkedHashMap<>();
        machines.forEach(each -> futures.put(each, request(each, message, QUERY_TIMEOUT_MILLIS)));
        Map<String, ControlMessage> responses = new LinkedHashMap<>();
        for (Map.Entry<String, CompletableFuture<ControlMessage>> each : futures.entrySet()) {
            responses.put(each.getKey(), awaitResponse(each.getValue()));
        }
        return responses;
    }

    @Override
    public void close() {
        links.close();
    }
}
