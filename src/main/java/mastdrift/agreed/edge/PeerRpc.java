package mastdrift.agreed.edge;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.ExecutionException;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionReplyProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionRequestProto;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;

/**
 * Carries the Raft library's requests to other members over {@link RpcEndpoint}. A peer id consists of the gateway's
 * name and the member's id.
 */
final class PeerRpc implements RaftServerRpc {

    static final byte REQUEST_VOTE = 1;
    static final byte APPEND_ENTRIES = 2;
    static final byte INSTALL_SNAPSHOT = 3;
    static final byte START_LEADER_ELECTION = 4;
    private static final char SEPARATOR = '/';
    private static final long TIMEOUT_MILLIS = 1_000;

    private final RpcEndpoint endpoint;

    PeerRpc(RpcEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    /** Returns the Raft peer id of a member. */
    static String peerId(String gateway, String memberId) {
        return gateway + SEPARATOR + memberId;
    }

    /** Returns the gateway's name of a peer id; empty where it has none. */
    static String gatewayName(RaftPeerId peerId) {
        String text = peerId.toString();
        return text.substring(0, Math.max(0, text.indexOf(SEPARATOR)));
    }

    /**
     * Handles a request of another member's library; returns null for an unknown request type. Throws IOException for a
     * request to another member id of this gateway: while a lost member is still in the configuration, its leader sends
     * requests to both the old and the new one, and a new member that answered for the lost one would vote in its
     * place, or mix chunks of two snapshots.
     */
    static byte[] handle(RaftServer server, byte type, byte[] bytes) throws IOException {
        switch (type) {
            case REQUEST_VOTE -> {
                RequestVoteRequestProto request = RequestVoteRequestProto.parseFrom(bytes);
                requireRecipient(server, request.getServerRequest());
                return server.requestVote(request).toByteArray();
            }
            case APPEND_ENTRIES -> {
                AppendEntriesRequestProto request = AppendEntriesRequestProto.parseFrom(bytes);
                requireRecipient(server, request.getServerRequest());
                return server.appendEntries(request).toByteArray();
            }
            case INSTALL_SNAPSHOT -> {
                InstallSnapshotRequestProto request = InstallSnapshotRequestProto.parseFrom(bytes);
                requireRecipient(server, request.getServerRequest());
                return server.installSnapshot(request).toByteArray();
            }
            case START_LEADER_ELECTION -> {
                StartLeaderElectionRequestProto request = StartLeaderElectionRequestProto.parseFrom(bytes);
                requireRecipient(server, request.getServerRequest());
                return server.startLeaderElection(request).toByteArray();
            }
            default -> {
                return null;
            }
        }
    }

    private static void requireRecipient(RaftServer server, RaftRpcRequestProto request) throws IOException {
        RaftPeerId recipient = RaftPeerId.valueOf(request.getReplyId());
        if (!recipient.equals(server.getId())) {
            throw new IOException("expected a request to " + server.getId() + ", found one to " + recipient);
        }
    }

    private byte[] call(RaftRpcRequestProto header, byte type, byte[] request) throws IOException {
        try {
            return endpoint.call(gatewayName(RaftPeerId.valueOf(header.getReplyId())), type, request, TIMEOUT_MILLIS)
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    @Override
    public RequestVoteReplyProto requestVote(RequestVoteRequestProto request) throws IOException {
        return RequestVoteReplyProto.parseFrom(call(request.getServerRequest(), REQUEST_VOTE, request.toByteArray()));
    }

    /**
     * Corrects the next index in a reply to a heartbeat (a request without entries). The library's reply has the end of
     * the follower's log there, and its leader takes that for the follower's match index. If the
     * follower's log ends with uncommitted entries from a term in which the follower was leader, no entry would ever
     * match. Such a reply proves only that both logs match up to the request's previous entry.
     */
    @Override
    public AppendEntriesReplyProto appendEntries(AppendEntriesRequestProto request) throws IOException {
        AppendEntriesReplyProto reply = AppendEntriesReplyProto.parseFrom(call(request.getServerRequest(),
                APPEND_ENTRIES, request.toByteArray()));
        long matchedNextIndex = request.hasPreviousLog() ? request.getPreviousLog().getIndex() + 1 : 0;
        boolean unconfirmed = request.getEntriesCount() == 0 && reply.getResult() == AppendResult.SUCCESS
                && reply.getNextIndex() > matchedNextIndex;
        return unconfirmed ? reply.toBuilder().setNextIndex(matchedNextIndex).build() : reply;
    }

    @Override
    public InstallSnapshotReplyProto installSnapshot(InstallSnapshotRequestProto request) throws IOException {
        return InstallSnapshotReplyProto.parseFrom(call(request.getServerRequest(), INSTALL_SNAPSHOT,
                request.toByteArray()));
    }

    @Override
    public StartLeaderElectionReplyProto startLeaderElection(StartLeaderElectionRequestProto request) throws IOException {
        return StartLeaderElectionReplyProto.parseFrom(call(request.getServerRequest(), START_LEADER_ELECTION,
                request.toByteArray()));
    }

    /** The endpoint is started before the library. */
    @Override
    public void start() { }

    /** It has no listener of its own. */
    @Override
    public InetSocketAddress getInetSocketAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Peers are addressed by their gateway's name, so no addresses are kept. */
    @Override
    public void addRaftPeers(Collection<RaftPeer> peers) { }

    /** A failed call is retried by its caller. */
    @Override
    public void handleException(RaftPeerId server, Exception fault, boolean reconnect) { }

    @Override
    public RpcType getRpcType() {
        return new PeerRpcType();
    }

    @Override
    public void close() { }
}
