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

/** What the Raft library says to other members, as remote procedure calls over the links. A member's id is its gateway's name and its folder's identity. */
final class PeerRpc implements RaftServerRpc {

    static final byte VOTE = 1;
    static final byte APPEND = 2;
    static final byte INSTALL = 3;
    static final byte ELECT = 4;
    private static final char SEPARATOR = '/';
    private static final long TIMEOUT_MILLIS = 1_000;

    private final RpcEndpoint rpc;

    PeerRpc(RpcEndpoint rpc) {
        this.rpc = rpc;
    }

    static String id(String gateway, String folder) {
        return gateway + SEPARATOR + folder;
    }

    static String gateway(RaftPeerId id) {
        String text = id.toString();
        return text.substring(0, Math.max(0, text.indexOf(SEPARATOR)));
    }

    /** The other side: a request of another member's library; null where it is of another kind. Throws IOException for one to another folder of this gateway: while a folder that was lost is still in the configuration its
        leader has requests for both, and a new one that answered for the lost one would vote in its place, or take pieces of two snapshots by turns. */
    static byte[] handle(RaftServer server, byte kind, byte[] bytes) throws IOException {
        switch (kind) {
            case VOTE -> {
                RequestVoteRequestProto request = RequestVoteRequestProto.parseFrom(bytes);
                mustBeTo(server, request.getServerRequest());
                return server.requestVote(request).toByteArray();
            }
            case APPEND -> {
                AppendEntriesRequestProto request = AppendEntriesRequestProto.parseFrom(bytes);
                mustBeTo(server, request.getServerRequest());
                return server.appendEntries(request).toByteArray();
            }
            case INSTALL -> {
                InstallSnapshotRequestProto request = InstallSnapshotRequestProto.parseFrom(bytes);
                mustBeTo(server, request.getServerRequest());
                return server.installSnapshot(request).toByteArray();
            }
            case ELECT -> {
                StartLeaderElectionRequestProto request = StartLeaderElectionRequestProto.parseFrom(bytes);
                mustBeTo(server, request.getServerRequest());
                return server.startLeaderElection(request).toByteArray();
            }
            default -> {
                return null;
            }
        }
    }

    private static void mustBeTo(RaftServer server, RaftRpcRequestProto request) throws IOException {
        RaftPeerId to = RaftPeerId.valueOf(request.getReplyId());
        if (!to.equals(server.getId())) {
            throw new IOException("expected a request to " + server.getId() + ", found one to " + to);
        }
    }

    private byte[] call(RaftRpcRequestProto to, byte kind, byte[] request) throws IOException {
        try {
            return rpc.call(gateway(RaftPeerId.valueOf(to.getReplyId())), kind, request, TIMEOUT_MILLIS).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    @Override
    public RequestVoteReplyProto requestVote(RequestVoteRequestProto request) throws IOException {
        return RequestVoteReplyProto.parseFrom(call(request.getServerRequest(), VOTE, request.toByteArray()));
    }

    /** The library's answer to a request without entries names the end of the follower's log, and its leader takes that for what both have alike: where it is the rest of a term that the follower led, which nobody agreed
        on, no entry would ever match. Both have alike what the request names as the entry before, and no more is known by it. */
    @Override
    public AppendEntriesReplyProto appendEntries(AppendEntriesRequestProto request) throws IOException {
        AppendEntriesReplyProto reply = AppendEntriesReplyProto.parseFrom(call(request.getServerRequest(), APPEND, request.toByteArray()));
        long alike = request.hasPreviousLog() ? request.getPreviousLog().getIndex() + 1 : 0;
        boolean more = request.getEntriesCount() == 0 && reply.getResult() == AppendResult.SUCCESS && reply.getNextIndex() > alike;
        return more ? reply.toBuilder().setNextIndex(alike).build() : reply;
    }

    @Override
    public InstallSnapshotReplyProto installSnapshot(InstallSnapshotRequestProto request) throws IOException {
        return InstallSnapshotReplyProto.parseFrom(call(request.getServerRequest(), INSTALL, request.toByteArray()));
    }

    @Override
    public StartLeaderElectionReplyProto startLeaderElection(StartLeaderElectionRequestProto request) throws IOException {
        return StartLeaderElectionReplyProto.parseFrom(call(request.getServerRequest(), ELECT, request.toByteArray()));
    }

    /** The links are there before the library is. */
    @Override
    public void start() { }

    /** It listens on nothing of its own. */
    @Override
    public InetSocketAddress getInetSocketAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Links are found by the gateway's name. */
    @Override
    public void addRaftPeers(Collection<RaftPeer> peers) { }

    /** A call that fails is made again by its caller. */
    @Override
    public void handleException(RaftPeerId server, Exception fault, boolean reconnect) { }

    @Override
    public RpcType getRpcType() {
        return new PeerRpcType();
    }

    @Override
    public void close() { }
}
