package mastdrift.agreed.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionReplyProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionRequestProto;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

/** Dispatch of requests of other members to the Raft library. */
class PeerRpcTest {

    private final List<String> calledMethods = new ArrayList<>();
    private final RaftServer server = (RaftServer) Proxy.newProxyInstance(RaftServer.class.getClassLoader(), new Class<?>[] {RaftServer.class}, (proxy, method, arguments) -> {
        if (method.getName().equals("getId")) {
            return RaftPeerId.valueOf("c/new");
        }
        calledMethods.add(method.getName());
        return switch (method.getName()) {
            case "requestVote" -> RequestVoteReplyProto.getDefaultInstance();
            case "appendEntries" -> AppendEntriesReplyProto.getDefaultInstance();
            case "installSnapshot" -> InstallSnapshotReplyProto.getDefaultInstance();
            case "startLeaderElection" -> StartLeaderElectionReplyProto.getDefaultInstance();
            default -> throw new AssertionError(method);
        };
    });

    private static byte[] request(byte type, String recipient) {
        RaftRpcRequestProto header = RaftRpcRequestProto.newBuilder().setReplyId(ByteString.copyFromUtf8(recipient))
                .build();
        return switch (type) {
            case PeerRpc.REQUEST_VOTE -> RequestVoteRequestProto.newBuilder().setServerRequest(header).build()
                    .toByteArray();
            case PeerRpc.APPEND_ENTRIES -> AppendEntriesRequestProto.newBuilder().setServerRequest(header).build()
                    .toByteArray();
            case PeerRpc.INSTALL_SNAPSHOT -> InstallSnapshotRequestProto.newBuilder().setServerRequest(header).build()
                    .toByteArray();
            default -> StartLeaderElectionRequestProto.newBuilder().setServerRequest(header).build().toByteArray();
        };
    }

    /**
     * Guards against a new member that votes and acknowledges in place of a lost one: the lost one stays in the
     * configuration, under the same gateway's name, until the new one is added.
     */
    @Test
    void aRequestToAnotherMemberIdIsRejected() throws Exception {
        for (byte type : new byte[] {PeerRpc.REQUEST_VOTE, PeerRpc.APPEND_ENTRIES, PeerRpc.INSTALL_SNAPSHOT,
                PeerRpc.START_LEADER_ELECTION}) {
            assertArrayEquals(new byte[0], PeerRpc.handle(server, type, request(type, "c/new")));
            assertEquals("expected a request to c/new, found one to c/old",
                    assertThrows(IOException.class, () -> PeerRpc.handle(server, type, request(type, "c/old")))
                    .getMessage());
        }
        assertNull(PeerRpc.handle(server, (byte) 99, new byte[0]));
        assertEquals(List.of("requestVote", "appendEntries", "installSnapshot", "startLeaderElection"), calledMethods);
    }
}
