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

class PeerRpcTest {

    private final List<String> asked = new ArrayList<>();
    private final RaftServer server = (RaftServer) Proxy.newProxyInstance(RaftServer.class.getClassLoader(), new Class<?>[] {RaftServer.class}, (proxy, method, arguments) -> {
        if (method.getName().equals("getId")) {
            return RaftPeerId.valueOf("c/new");
        }
        asked.add(method.getName());
        return switch (method.getName()) {
            case "requestVote" -> RequestVoteReplyProto.getDefaultInstance();
            case "appendEntries" -> AppendEntriesReplyProto.getDefaultInstance();
            case "installSnapshot" -> InstallSnapshotReplyProto.getDefaultInstance();
            case "startLeaderElection" -> StartLeaderElectionReplyProto.getDefaultInstance();
            default -> throw new AssertionError(method);
        };
    });

    private static byte[] request(byte kind, String to) {
        RaftRpcRequestProto head = RaftRpcRequestProto.newBuilder().setReplyId(ByteString.copyFromUtf8(to)).build();
        return switch (kind) {
            case PeerRpc.VOTE -> RequestVoteRequestProto.newBuilder().setServerRequest(head).build().toByteArray();
            case PeerRpc.APPEND -> AppendEntriesRequestProto.newBuilder().setServerRequest(head).build().toByteArray();
            case PeerRpc.INSTALL -> InstallSnapshotRequestProto.newBuilder().setServerRequest(head).build().toByteArray();
            default -> StartLeaderElectionRequestProto.newBuilder().setServerRequest(head).build().toByteArray();
        };
    }

    /** Guards against a folder that votes and acknowledges in place of one that was lost: the old one is in the configuration until the new one is taken in, under the same gateway's name. */
    @Test
    void aFolderAnswersForNoOther() throws Exception {
        for (byte kind : new byte[] {PeerRpc.VOTE, PeerRpc.APPEND, PeerRpc.INSTALL, PeerRpc.ELECT}) {
            assertArrayEquals(new byte[0], PeerRpc.handle(server, kind, request(kind, "c/new")));
            assertEquals("expected a request to c/new, found one to c/old", assertThrows(IOException.class, () -> PeerRpc.handle(server, kind, request(kind, "c/old"))).getMessage());
        }
        assertNull(PeerRpc.handle(server, (byte) 99, new byte[0]));
        assertEquals(List.of("requestVote", "appendEntries", "installSnapshot", "startLeaderElection"), asked);
    }
}
