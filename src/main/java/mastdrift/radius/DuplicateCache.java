package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Detects retransmitted requests and caches the responses to them (RFC 5080, 2.2.2). A request is identified by its
 * source, code, identifier and Request Authenticator. An Accounting-Request is also identified by the event that it
 * reports, since a client that increments Acct-Delay-Time sends a new packet for the same event.
 *
 * <p>A request that is in progress is held until it ends: a duplicate that was taken for a new request would be a second
 * attempt beside the first. Answered requests are held for a time, in order of their answers, and the oldest make room
 * for new ones. A client address that has reached its quota loses its own oldest ones, so a flood of new identifiers from
 * one address does not evict those of others; where all of them are in progress, a new request is refused.
 *
 * <p>A request that has ended without an answer although it may have run is held like an answered one: its duplicates are
 * no new requests, but for those of a keyed request while its servers drop repeats. A late answer is still recorded.
 *
 * <p>The common case, a new request, costs two hash map look-ups.
 */
public final class DuplicateCache {

    /** Source address and port of a request. Port 0 stands for all ports of an address. */
    public record Source(byte[] address, int port) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Source source && port == source.port && Arrays.equals(address, source.address);
        }

        @Override
        public int hashCode() {
            return 31 * Arrays.hashCode(address) + port;
        }
    }

    private record RequestIdentity(Source source, Code code, int identifier, byte[] authenticator) {

        @Override
        public boolean equals(Object other) {
            return other instanceof RequestIdentity identity && identifier == identity.identifier
                    && code == identity.code
                    && source.equals(identity.source) && Arrays.equals(authenticator, identity.authenticator);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * source.hashCode() + identifier) + Arrays.hashCode(authenticator);
        }
    }

    /** A packet that awaits the response to a request: the forwarded one, or a duplicate of it. */
    public record WaitingPacket(Source source, Packet request) {

        private boolean isDuplicate(Source otherSource, Packet other) {
            return source.equals(otherSource) && request.code() == other.code() && request.identifier() == other.identifier()
                    && Arrays.equals(request.authenticator(), other.authenticator());
        }
    }

    /** A request that is in progress or has been answered, with its duplicates. */
    public static final class Entry {
        private final long firstForwardedAtMicros;
        private final boolean newTry;  // of a request that may have run before
        private long expiresAtMicros;  // once it is completed
        private boolean unanswered;  // it has ended without an answer, and may have run
        private long newTriesUntilMicros;  // if it is unanswered
        private final AccountingEvent event;
        private final ClientEntries clientEntries;
        private final List<RequestIdentity> identities = new ArrayList<>(1);
        private final Map<RequestIdentity, byte[]> responses = new HashMap<>(2);
        private final List<WaitingPacket> waiting = new ArrayList<>(1);
        private final List<WaitingPacket> ended = new ArrayList<>(0);  // had their final answer, which was none
        private boolean completed;
        private int responseBytes;

        private Entry(long firstForwardedAtMicros, boolean newTry, AccountingEvent event, ClientEntries clientEntries) {
            this.firstForwardedAtMicros = firstForwardedAtMicros;
            this.newTry = newTry;
            this.event = event;
            this.clientEntries = clientEntries;
        }

        /** When the request, or an earlier try of it that may have run, was forwarded first. */
        public long firstForwardedAtMicros() {
            return firstForwardedAtMicros;
        }

        /** Whether this is a new try of a request that may have run before. */
        public boolean isNewTry() {
            return newTry;
        }

        /** The packets that await the response, each to be answered once. The first is the one that was forwarded. */
        public List<WaitingPacket> waiting() {
            return List.copyOf(waiting);
        }
    }

    /** The entries of one client address. */
    private static final class ClientEntries {
        private final Source address;
        private final LinkedHashSet<Entry> completed = new LinkedHashSet<>();  // oldest first
        private int inProgress;

        ClientEntries(Source address) {
            this.address = address;
        }

        int size() {
            return completed.size() + inProgress;
        }
    }

    /** How to handle a received packet. */
    public enum Disposition {
        /** A new request: forward it and report its result for the returned entry. */
        FORWARD,
        /** A new request for which there is no room: it is not forwarded, and has no entry. */
        REFUSED,
        /** A duplicate of a request in progress: nothing to do; it is answered together with that request. */
        JOINED,
        /** A duplicate of an answered request: send the cached response. */
        CACHED,
        /**
         * Another packet for the same accounting event was answered: answer this one likewise, without asking a server,
         * and report the response by {@link #recordResponse}.
         */
        SAME_EVENT_ANSWERED
    }

    /** How to handle a packet, and its entry, null if it is refused. The response is null unless a cached one is to be sent. */
    public record LookupResult(Disposition disposition, Entry entry, byte[] response) { }

    private static final int MAX_WAITING_PER_ENTRY = 16;

    private final long retentionMicros;
    private final int maxEntries;
    private final int maxEntriesPerClient;
    private final int maxResponseBytes;
    private final Map<RequestIdentity, Entry> byIdentity = new HashMap<>();
    private final Map<AccountingEvent, Entry> byEvent = new HashMap<>();
    private final Map<Source, ClientEntries> clients = new HashMap<>();
    private final LinkedHashSet<Entry> completed = new LinkedHashSet<>();  // oldest first
    private int inProgress;
    private int responseBytes;

    /**
     * Keeps each answered request for {@code retentionMicros} microseconds from its answer; holds up to {@code maxEntries}
     * entries, a quarter of them for any one client address, and up to {@code maxResponseBytes} bytes of responses.
     */
    public DuplicateCache(long retentionMicros, int maxEntries, int maxResponseBytes) {
        this.retentionMicros = retentionMicros;
        this.maxEntries = maxEntries;
        this.maxResponseBytes = maxResponseBytes;
        maxEntriesPerClient = Math.max(1, maxEntries / 4);
    }

    /** Classifies a received packet whose authenticators have been verified. */
    public LookupResult lookUp(long nowMicros, Source source, Packet request) {
        removeExpired(nowMicros);
        RequestIdentity identity = new RequestIdentity(source, request.code(), request.identifier(),
                request.authenticator());
        Entry samePacket = byIdentity.get(identity);
        if (samePacket != null && !samePacket.unanswered) {
            byte[] response = samePacket.responses.get(identity);
            return response != null ? new LookupResult(Disposition.CACHED, samePacket, response)
                    : new LookupResult(Disposition.JOINED, samePacket, null);
        }
        AccountingEvent event = request.code() == Code.ACCOUNTING_REQUEST ? AccountingEvent.of(source.address, request)
                : null;
        Entry same = samePacket != null ? samePacket : event == null ? null : byEvent.get(event);
        if (same == null) {
            return open(createEntry(nowMicros, false, source, event), identity, source, request);
        }
        if (same.unanswered && nowMicros < same.newTriesUntilMicros) {
            remove(same);
            return open(createEntry(same.firstForwardedAtMicros, true, source, event), identity, source, request);
        }
        addWaiting(same, identity, source, request);
        return new LookupResult(same.completed && !same.unanswered ? Disposition.SAME_EVENT_ANSWERED : Disposition.JOINED, same, null);
    }

    private LookupResult open(Entry entry, RequestIdentity identity, Source source, Packet request) {
        if (entry == null) {
            return new LookupResult(Disposition.REFUSED, null, null);
        }
        addWaiting(entry, identity, source, request);
        return new LookupResult(Disposition.FORWARD, entry, null);
    }

    /** Returns null if there is no room. */
    private Entry createEntry(long firstForwardedAtMicros, boolean newTry, Source source, AccountingEvent event) {
        Source address = new Source(source.address, 0);
        ClientEntries existing = clients.get(address);
        if (existing != null && existing.size() >= maxEntriesPerClient && !removeOldest(existing.completed)
                || size() >= maxEntries && !removeOldest(completed)) {
            return null;
        }
        ClientEntries clientEntries = clients.computeIfAbsent(address, ClientEntries::new);
        Entry entry = new Entry(firstForwardedAtMicros, newTry, event, clientEntries);
        inProgress++;
        clientEntries.inProgress++;
        if (event != null) {
            byEvent.put(event, entry);
        }
        return entry;
    }

    private boolean removeOldest(LinkedHashSet<Entry> from) {
        if (from.isEmpty()) {
            return false;
        }
        remove(from.iterator().next());
        return true;
    }

    /**
     * Adds a packet to an entry. Beyond {@link #MAX_WAITING_PER_ENTRY} packets a further one is not recorded: a
     * retransmission of it is handled as a duplicate again.
     */
    private void addWaiting(Entry entry, RequestIdentity identity, Source source, Packet request) {
        boolean isWaiting = entry.waiting.stream().anyMatch(other -> other.isDuplicate(source, request));
        if (!isWaiting && entry.waiting.size() < MAX_WAITING_PER_ENTRY) {
            entry.ended.removeIf(other -> other.isDuplicate(source, request));
            entry.identities.add(identity);
            entry.waiting.add(new WaitingPacket(source, request));
            byIdentity.put(identity, entry);
        }
    }

    /** Records that a request has been answered; its packets are held for the retention time from now on. */
    public void recordCompleted(long nowMicros, Entry entry) {
        if (entry.completed) {
            return;
        }
        entry.completed = true;
        entry.expiresAtMicros = nowMicros + retentionMicros;
        inProgress--;
        entry.clientEntries.inProgress--;
        completed.add(entry);
        entry.clientEntries.completed.add(entry);
    }

    /**
     * Records the response sent to a waiting packet of a completed request, to be sent again when that packet is
     * retransmitted.
     */
    public void recordResponse(Entry entry, WaitingPacket packet, byte[] response) {
        if (!completed.contains(entry)) {
            return;  // evicted since
        }
        RequestIdentity identity = new RequestIdentity(packet.source, packet.request.code(),
                packet.request.identifier(), packet.request.authenticator());
        if (entry.responses.putIfAbsent(identity, response) == null) {
            entry.responseBytes += response.length;
            responseBytes += response.length;
        }
        while (responseBytes > maxResponseBytes) {
            removeOldest(completed);
        }
    }

    /**
     * Records that a request in progress ended without a response although it may have run. Duplicates are forwarded as new
     * tries until {@code newTriesUntilMicros}, and await a late answer from then on; those that have come so far have had
     * their final answer.
     */
    public void recordUnanswered(long nowMicros, Entry entry, long newTriesUntilMicros) {
        recordCompleted(nowMicros, entry);
        entry.unanswered = true;
        entry.newTriesUntilMicros = newTriesUntilMicros;
        entry.ended.addAll(entry.waiting);
        entry.waiting.clear();
    }

    /**
     * Records that a late answer to an unanswered request has arrived. Returns the packets to which responses are to be
     * recorded, and of which those in {@link Entry#waiting} are to be sent theirs, too; none if the request was answered
     * or evicted since.
     */
    public List<WaitingPacket> recordLateAnswer(Entry entry) {
        if (!entry.unanswered || !completed.contains(entry)) {
            return List.of();
        }
        entry.unanswered = false;
        List<WaitingPacket> all = new ArrayList<>(entry.ended);
        all.addAll(entry.waiting);
        entry.ended.clear();
        return all;
    }

    /** Records that a request in progress ended and never ran; a retransmission is treated as a new request. */
    public void recordNoResponse(Entry entry) {
        recordCompleted(0, entry);
        remove(entry);
    }

    private void removeExpired(long nowMicros) {
        while (!completed.isEmpty() && completed.iterator().next().expiresAtMicros <= nowMicros) {
            removeOldest(completed);
        }
    }

    private void remove(Entry entry) {
        if (!completed.remove(entry)) {
            return;
        }
        entry.clientEntries.completed.remove(entry);
        if (entry.clientEntries.size() == 0) {
            clients.remove(entry.clientEntries.address);
        }
        entry.identities.forEach(identity -> byIdentity.remove(identity, entry));
        if (entry.event != null) {
            byEvent.remove(entry.event, entry);
        }
        responseBytes -= entry.responseBytes;
    }

    /** Number of entries held. */
    public int size() {
        return completed.size() + inProgress;
    }

    /** Total size of the cached responses in bytes. */
    public int responseBytes() {
        return responseBytes;
    }
}
