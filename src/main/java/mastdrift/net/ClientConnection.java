package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import mastdrift.engine.Exchange;
import mastdrift.engine.Pool;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Responder;
import mastdrift.engine.ResponseMessage;
import mastdrift.limits.ByteBudget;
import mastdrift.limits.ClientConnectionTable;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.TurnShares;

/**
 * One client's connection. Until its first byte arrives, this is the only handler in the pipeline: the first byte
 * adds the HTTP handlers in front of it, and they are removed again once the connection has been idle for a while.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Responder, ConnectionAdmission.Evictable, RequestAssembler.Memory,
        ByteBudget.Owner {

    // Requests that are queued on a connection behind the current one. Up to MAX_OVERFLOW_REQUESTS more are only
    // counted, and refused in their turn. Reading continues, since the close of a connection would otherwise go
    // unnoticed while its requests wait to be forwarded. When reading has to pause, the queued requests and all unread
    // ones are refused.
    private static final int MAX_PIPELINED_REQUESTS = 8;
    static final int MAX_OVERFLOW_REQUESTS = 1_024;
    // Stands for a request that was only counted.
    private static final FullHttpRequest OVERFLOW_REQUEST =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "", Unpooled.EMPTY_BUFFER);
    // A request whose client sends on and on isn't forwarded, since the close may be behind that. It is refused after this.
    private static final long MAX_CATCH_UP_MICROS = 100_000;
    // A request of the greatest length: a sender's system doesn't hold back what is behind so much, since buffers hold as much.
    private static final int MAX_UNHELD_BYTES = RequestAssembler.MAX_BODY_BYTES + HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;
    // Longer than it takes until a sender whose receiver's buffer was full sends on.
    private static final long STREAM_END_MICROS = 20_000;

    /**
     * A request, the memory that is held for it, the earliest time from which it may have been waiting, and the turn in which
     * it was read.
     */
    private record ReceivedRequest(FullHttpRequest message, int heldBytes, long waitingSinceMicros, long readTurn) { }

    private final HttpFront front;
    private final Channel channel;
    private final EventLoop loop;
    private final RequestTracker ledger;
    private final ClientConnectionTable<ClientConnection> connections;
    private ClientConnectionTable.Entry<ClientConnection> entry;
    private StrictDecoder decoder;  // null while the HTTP handlers are not in the pipeline
    private final TurnShares.Share share = new TurnShares.Share();
    private boolean inputLeft;  // the last read may have left input unread
    private long streamBytes;  // input since none was left
    private long lastInputMicros;
    private long openAsOfMicros;  // the client had not closed the connection by then
    private boolean searching;  // input is read to look for the close behind it, whatever the share of this turn
    private RequestAssembler assembler;  // null likewise
    private final ByteBudget.Account memory;
    private final ByteBudget.Account unreadMemory;  // for the response that the client has not read yet
    private int currentHeldBytes;  // of the memory, for the current request
    private ArrayDeque<ReceivedRequest> pipelined;  // requests behind the current one; null until there is one
    private int overflowCount;  // requests behind those, which will be refused
    private boolean overflowPause;  // reading pauses until all of these have been refused
    // reading had to pause: the client's close may be far behind what was read, until all input has been read
    private boolean overflowed;
    private FullHttpRequest currentRequest;
    private Exchange exchange;
    private String requestId;
    // whether the current read has completed a request
    private boolean requestCompleted;
    private boolean decodingScheduled;  // for the next turn
    private boolean inputFailed;  // no request can be read any more behind the current one
    private boolean lastResponseWritten;
    private boolean surplus;  // opened when there was no room for it, and no request of it has been served yet
    private boolean closesToMakeRoom;
    private long openedTurn;
    private long earliestOpenMicros;  // earliest time at which it may have been in the listen backlog

    ClientConnection(HttpFront front, Channel channel) {
        this.front = front;
        this.channel = channel;
        loop = front.loop;
        ledger = front.ledger;
        connections = front.connections;
        memory = front.requestMemory.open(this);
        unreadMemory = front.responseMemory.open(this::giveUpResponse);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        openedTurn = ledger.turnNumber();
        earliestOpenMicros = front.acceptor.earliestArrivalMicros();
        entry = connections.add(ledger.now(), this, HttpFront.addressPrefix(channel.remoteAddress()));
        surplus = !front.admission.admit(entry);
    }

    /**
     * Moves a connection to the phase that follows, without its HTTP handlers if it has been idle for a while;
     * closes it if none follows. It closes without a response, since a 408 might cross a request and be taken for
     * its answer.
     */
    void handleOverdue(ConnectionPhase phase) {
        if (phase == ConnectionPhase.IDLE && hasPartialRequest() || !connections.advance(entry)) {
            closeUnlessRequested(phase, true);
        } else if (phase == ConnectionPhase.IDLE) {
            channel.pipeline().remove(StrictDecoder.class);
            channel.pipeline().remove(HttpResponseEncoder.class);
            channel.pipeline().remove(assembler);
            decoder = null;
            assembler = null;
            pipelined = null;
        }
    }

    /**
     * Closes the connection if it is in {@code phase}, in which it is owed no response, unless its unread input
     * changes that: the close would reset a request that had arrived before it. Closes one with a partial request
     * only if {@code includePartial}.
     */
    void closeUnlessRequested(ConnectionPhase phase, boolean includePartial) {
        if (entry.phase() == phase) {
            UnreadInput.read(channel);
        }
        if (entry.phase() == phase && (includePartial || !hasPartialRequest())) {
            close();
        }
    }

    @Override
    public boolean closeUnlessInputArrived() {
        ConnectionPhase phase = entry.phase();
        boolean hadPartialRequest = hasPartialRequest();
        UnreadInput.read(channel);
        boolean hasUndecodedInput = decoder != null && decoder.isBlocked();
        if (entry.phase() != phase || hasPartialRequest() != hadPartialRequest || hasUndecodedInput) {
            return false;
        }
        close();
        return true;
    }

    /** The id of the request that is being answered; null if there is none. */
    String requestId() {
        return requestId;
    }

    /** Number of requests that are only counted and will be refused. */
    int overflowCount() {
        return overflowCount;
    }

    /** Whether a request has arrived in part, but not completely. */
    private boolean hasPartialRequest() {
        return decoder != null && !decoder.isBetweenRequests();
    }

    /** Ends the open request now, as if its deadline had passed. */
    void failOpenRequest() {
        if (exchange != null) {
            exchange.timeOut();
        }
    }

    private void close() {
        connections.remove(entry);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (entry != null) {
            connections.remove(entry);
        }
        front.admission.connectionClosed();
        if (pipelined != null) {
            releasePipelined();
        }
        if (exchange != null) {
            exchange.clientDisconnected();
        }
        currentHeldBytes = 0;
        memory.release(ledger.now(), memory.heldBytes());
        releaseUnreadMemory();
        front.completeStopIfDone();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof RequestAssembler.Assembled request) {
            receiveRequest(request);
        } else {
            decoder = new StrictDecoder(new DecodingMeter());
            assembler = new RequestAssembler(this);
            channel.pipeline().addFirst(decoder, new HttpResponseEncoder(), assembler);
            channel.pipeline().fireChannelRead(message);
        }
    }

    /** Takes ownership of the message, and of the memory that is held for it. */
    private void receiveRequest(RequestAssembler.Assembled assembled) {
        FullHttpRequest message = assembled.isDropped() ? OVERFLOW_REQUEST : assembled.message();
        if (lastResponseWritten) {
            message.release();
            release(assembled.heldBytes());
            return;
        }
        requestCompleted = true;
        ReceivedRequest received = new ReceivedRequest(message, assembled.heldBytes(), earliestInputMicros(), ledger.turnNumber());
        if (currentRequest == null) {
            startNext(received);
            return;
        }
        if (pipelined == null) {
            pipelined = new ArrayDeque<>(2);
        }
        if (!assembled.isDropped() && !refusesNext()) {
            pipelined.add(received);
            updateReclaimable();
            return;
        }
        release(received);
        // a close would no longer be noticed: then no request of this connection may wait to be forwarded
        if (++overflowCount >= MAX_OVERFLOW_REQUESTS) {
            overflowed = true;
            overflowPause = true;
            refusePipelined();
            updateReading();
        }
    }

    /**
     * The earliest time at which the input that is read now may have arrived. What the first wait after the accept finds may
     * have been there for as long as the connection.
     */
    private long earliestInputMicros() {
        return ledger.turnNumber() == openedTurn + 1 ? Math.min(earliestOpenMicros, ledger.earliestArrivalAt())
                : ledger.earliestArrivalAt();
    }

    private void release(ReceivedRequest request) {
        request.message.release();
        release(request.heldBytes);
    }

    /** Releases the queued requests, which will be refused. */
    private void refusePipelined() {
        overflowCount += pipelined.size();
        releasePipelined();
    }

    private void releasePipelined() {
        pipelined.forEach(this::release);
        pipelined.clear();
        updateReclaimable();
    }

    // ---- memory for requests

    @Override
    public boolean refusesNext() {
        return currentRequest != null
                && (overflowed || overflowCount > 0 || pipelined != null && pipelined.size() >= MAX_PIPELINED_REQUESTS);
    }

    @Override
    public boolean isAnswering() {
        return currentRequest != null;
    }

    @Override
    public boolean reserve(int bytes) {
        boolean reserved = memory.reserve(ledger.now(), bytes);
        if (reserved) {
            memory.setReclaimable(ledger.now(), true);
        } else {
            front.memoryUsedUp(front.requestMemory);
        }
        return reserved;
    }

    @Override
    public void release(int bytes) {
        memory.release(ledger.now(), bytes);
        updateReclaimable();
    }

    /** Drops all requests that are not in progress, and what has been received of the next one: they will be refused. */
    @Override
    public void reclaim() {
        if (pipelined != null) {
            refusePipelined();
        }
        if (assembler != null) {
            assembler.drop();
        }
    }

    private void updateReclaimable() {
        boolean hasWaitingRequests = pipelined != null && !pipelined.isEmpty() || assembler != null && assembler.holdsMemory();
        memory.setReclaimable(ledger.now(), hasWaitingRequests);
    }

    /** Reads on unless what was read before has to be worked off first. */
    private void updateReading() {
        boolean readsOn = !inputFailed && !overflowPause && !(decoder != null && decoder.isBlocked());
        inputLeft |= !readsOn;
        channel.config().setAutoRead(readsOn);
    }

    /** The next request in order; null if there is none. */
    private ReceivedRequest pollNext() {
        ReceivedRequest next = pipelined == null ? null : pipelined.poll();
        if (next == null && overflowCount > 0) {
            overflowCount--;
            return new ReceivedRequest(OVERFLOW_REQUEST, 0, ledger.now(), ledger.turnNumber());
        }
        return next;
    }

    /** Input that did not complete a request is part of one. A read may also have found no input at all. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        recordRead(channel.unsafe().recvBufAllocHandle());
        inputDecoded();
    }

    /**
     * Records what a read shows of the client. It had not closed the connection if nothing is left to read, nor before the
     * first bytes of a stream had arrived.
     */
    private void recordRead(RecvByteBufAllocator.Handle lastRead) {
        int bytes = lastRead.lastBytesRead();
        if (!inputLeft && isStreamOver()) {
            streamBytes = 0;
            openAsOfMicros = bytes == 0 ? ledger.now() : Math.max(openAsOfMicros, earliestInputMicros());
        }
        inputLeft = bytes > 0 && bytes == lastRead.attemptedBytesRead();
        if (bytes > 0) {
            streamBytes += bytes;
            lastInputMicros = ledger.now();
        }
    }

    /**
     * Whether a client that has closed the connection has nothing left to send. After its close its system sends on what it
     * holds: that has arrived if it can't have filled the receive buffer, or else once nothing more comes.
     */
    private boolean isStreamOver() {
        return streamBytes <= MAX_UNHELD_BYTES || ledger.now() - lastInputMicros >= STREAM_END_MICROS;
    }

    private void inputDecoded() {
        if (!requestCompleted && currentRequest == null && !lastResponseWritten && hasPartialRequest()) {
            connections.receivedPart(ledger.now(), entry);
        }
        requestCompleted = false;
        if (decoder != null && decoder.isBlocked() && !decodingScheduled) {
            decodingScheduled = true;
            front.nextTurn.add(this::resumeDecoding);
            updateReading();
        }
    }

    /** Goes on with input that was beyond the connection's share of an earlier turn. */
    private void resumeDecoding() {
        decodingScheduled = false;
        if (decoder == null || !channel.isActive()) {
            return;
        }
        decodeUndecoded();
        inputDecoded();
        if (!decodingScheduled) {
            updateReading();
        }
    }

    private void decodeUndecoded() {
        ChannelHandlerContext decoderContext = channel.pipeline().context(decoder);
        try {
            decoder.resume(decoderContext);
        } catch (Exception fault) {
            decoderContext.fireExceptionCaught(fault);
        }
    }

    /** Bounds what is decoded of this connection in a turn. */
    private final class DecodingMeter implements WorkMeter {

        @Override
        public boolean mayDecode() {
            return searching ? front.turnShares.maySearch(ledger.turnNumber())
                    : front.turnShares.mayWork(ledger.turnNumber(), share);
        }

        @Override
        public void decoded(int bytes, int fields, boolean requestWasCompleted) {
            int units = TurnShares.decodingUnits(bytes, fields, requestWasCompleted);
            if (searching) {
                front.turnShares.recordSearch(ledger.turnNumber(), units);
            } else {
                front.turnShares.recordWork(ledger.turnNumber(), share, units);
            }
        }
    }

    private void startNext(ReceivedRequest request) {
        if (request == null) {
            overflowPause = false;
            updateReading();
            connections.moveTo(ledger.now(), entry, decoder.isBetweenRequests() ? ConnectionPhase.IDLE : ConnectionPhase.PART);
            if (front.isServingEnded() && entry.phase() == ConnectionPhase.IDLE) {
                close();  // its response was on the way when the other connections were closed
            } else {
                front.admission.connectionIdle();
            }
            return;
        }
        connections.moveTo(ledger.now(), entry, ConnectionPhase.BUSY);
        currentRequest = request.message;
        currentHeldBytes = request.heldBytes;
        updateReclaimable();
        // not within the read that delivered it, where reading again would find nothing
        long startedMicros = ledger.now();
        loop.execute(() -> begin(request, startedMicros));
    }

    /** Answers or forwards a request, in a later turn if the connection has used up its share of this one. */
    private void begin(ReceivedRequest request, long startedMicros) {
        if (channel.isActive() && !front.turnShares.mayWork(ledger.turnNumber(), share)) {
            front.nextTurn.add(() -> begin(request, startedMicros));
            return;
        }
        front.turnShares.recordWork(ledger.turnNumber(), share, TurnShares.UNITS_PER_ANSWER);
        if (!channel.isActive() || !isForwardable(request.message) || !mayHaveUnreadInput(request)) {
            processAndRelease(request, false);
            return;
        }
        boolean knownOpen = readAllInput() || isKnownOpen();
        if (!knownOpen && channel.isActive() && ledger.now() - startedMicros < MAX_CATCH_UP_MICROS) {
            front.nextTurn.add(() -> begin(request, startedMicros));
            return;
        }
        // once all input behind it has been read, it is served like any other
        overflowed = overflowed && hasUnreadInput();
        processAndRelease(request, !knownOpen);
    }

    /**
     * Whether the client may have closed the connection unnoticed: its close is behind input that has not been read yet, or
     * could be unread for too long. After the turn in which the request was read, a close behind no other input is noticed in
     * the turn in which it arrives.
     */
    private boolean mayHaveUnreadInput(ReceivedRequest request) {
        long closeUnnoticedMicros = request.readTurn == ledger.turnNumber()
                ? Math.max(ledger.now() - request.waitingSinceMicros, ledger.maxUnreadMicros()) : ledger.maxUnreadMicros();
        return overflowed || hasUnreadInput() || closeUnnoticedMicros > RequestTracker.CHECK_INPUT_AFTER_MICROS;
    }

    /** Whether the client had not closed the connection a moment ago, though its input has not been read to the end. */
    private boolean isKnownOpen() {
        return channel.isActive() && ledger.now() - openAsOfMicros <= RequestTracker.CHECK_INPUT_AFTER_MICROS;
    }

    private boolean hasUnreadInput() {
        return inputLeft || decoder.isBlocked() || !isStreamOver();
    }

    /**
     * Reads until no input is left; returns false if there may be more, since the bound of this turn on such reads was
     * reached, or since the client's system may send on.
     */
    private boolean readAllInput() {
        searching = true;
        try {
            if (decoder != null && decoder.isBlocked()) {
                decodeUndecoded();
            }
            while (decoder == null || !decoder.isBlocked()) {
                UnreadInput.read(channel);
                if (!channel.isActive()) {
                    return true;
                }
                if (channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
                    return isStreamOver();
                }
                if (!front.turnShares.maySearch(ledger.turnNumber())) {
                    return false;
                }
            }
            return false;
        } finally {
            searching = false;
        }
    }

    private void processAndRelease(ReceivedRequest request, boolean behindPause) {
        try {
            if (channel.isActive()) {
                process(request, behindPause);
            }
        } catch (RuntimeException | Error fault) {  // nobody else answers: a task's fault is told to no handler
            exceptionCaught(channel.pipeline().context(this), fault);
        } finally {
            request.message.release();
        }
    }

    private void process(ReceivedRequest request, boolean behindPause) {
        FullHttpRequest message = request.message;
        if (message == OVERFLOW_REQUEST || behindPause) {
            sendRefusal(0);
            return;
        }
        Throwable fault = message.decoderResult().cause();
        if (fault != null) {
            writeEmptyResponse(statusOf(fault), true);
        } else if (matchesPath(message.uri(), "/ready")) {
            boolean isGet = message.method().equals(HttpMethod.GET);
            writeEmptyResponse(!isGet ? HttpResponseStatus.METHOD_NOT_ALLOWED
                    : front.isStopping() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, false);
        } else if (isApiPath(message.uri())) {
            handleApiRequest(message, ledger.now() - request.waitingSinceMicros);
        } else {
            writeEmptyResponse(HttpResponseStatus.NOT_FOUND, false);
        }
    }

    /** The status that answers a request which could not be read. */
    private static HttpResponseStatus statusOf(Throwable fault) {
        if (fault instanceof TooLongFrameException && "body".equals(fault.getMessage())) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (fault instanceof StrictDecoder.TooManyFieldsException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (fault instanceof RequestAssembler.UnsupportedExpectationException) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        return fault instanceof StrictDecoder.UnsupportedTransferCodingException ? HttpResponseStatus.NOT_IMPLEMENTED
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Whether a request may be forwarded, as far as it can be told without reading its head. */
    private static boolean isForwardable(FullHttpRequest message) {
        return message != OVERFLOW_REQUEST && message.decoderResult().isSuccess() && isApiPath(message.uri());
    }

    private static boolean isApiPath(String uri) {
        return matchesPath(uri, "/api") || uri.startsWith("/api/");
    }

    /** Whether the request target is this path, with a query or without. */
    private static boolean matchesPath(String uri, String path) {
        return uri.startsWith(path) && (uri.length() == path.length() || "?#".indexOf(uri.charAt(path.length())) >= 0);
    }

    private void handleApiRequest(FullHttpRequest message, long waitedMicros) {
        ApiRequest.Result result = front.requestReader.read(message);
        ApiRequest request = result.request();
        if (request == null) {
            writeEmptyResponse(result.rejection(), result.closesConnection());
        } else if (ledger.isIdInUse(request.traceId())) {
            writeEmptyResponse(HttpResponseStatus.CONFLICT, false);
        } else {
            requestId = request.traceId();
            forward(message, request, waitedMicros);
        }
    }

    private void forward(FullHttpRequest message, ApiRequest request, long waitedMicros) {
        Pool pool = front.router.pool(request.requestClass(), request.tenant(), message, request.routingKey());
        if (pool == null) {
            writeEmptyResponse(HttpResponseStatus.NOT_FOUND, false);
            return;
        }
        long timeLeftMicros = Math.min(Math.min(request.expiresMillis() * 1_000, request.requestClass().deadline()) - waitedMicros,
                front.answerDeadlineMicros() - ledger.now());
        HttpCall call = new HttpCall(message.retain());
        RequestAttributes attributes = new RequestAttributes(request.traceId(), request.requestClass().name(), request.tenant(), request.affinityKey(),
                timeLeftMicros, request.isRepeat(), message.method().equals(HttpMethod.POST), request.workMicros(),
                front.clientZone(channel.remoteAddress()), request.effectKey());
        surplus = surplus && !front.admission.hasRoomForRequest();
        if (surplus) {
            refuseForLackOfRoom(pool, call, attributes);
        } else {
            exchange = ledger.accept(pool, this, call, attributes, waitedMicros);
        }
    }

    /** Refuses the request and closes the connection, once all requests that have arrived on it are answered. */
    private void refuseForLackOfRoom(Pool pool, HttpCall call, RequestAttributes attributes) {
        UnreadInput.read(channel);
        closesToMakeRoom = true;
        ledger.refuse(pool, this, call, attributes);
    }

    /**
     * The client's close may be in unread input, which is read at each call, since the process may have been
     * stalled since the last read.
     */
    @Override
    public boolean isClientConnected() {
        return readAllInput() ? channel.isActive() : isKnownOpen();
    }

    @Override
    public boolean isClientGone() {
        return !channel.isActive();
    }

    @Override
    public void sendResponse(ResponseMessage hostAnswer) {
        FullHttpResponse hostResponse = ((HttpAnswer) hostAnswer).message();
        ByteBuf body = hostResponse.content().retain();
        FullHttpResponse response = UncheckedHeaders.newResponse(HttpResponseStatus.OK, body);
        String contentType = hostResponse.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        writeResponse(response, false);
    }

    /** Retry-After is in whole seconds, as HTTP defines it; 0 omits it. */
    @Override
    public void sendRefusal(long retryAfterMicros) {
        FullHttpResponse response = emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMicros > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfterMicros + 999_999) / 1_000_000);
        }
        writeResponse(response, false);
    }

    @Override
    public void sendFailure(boolean late) {
        writeEmptyResponse(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
    }

    private void writeEmptyResponse(HttpResponseStatus status, boolean close) {
        writeResponse(emptyResponse(status), close);
    }

    private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        return UncheckedHeaders.newResponse(status, Unpooled.EMPTY_BUFFER);
    }

    private void writeResponse(FullHttpResponse response, boolean close) {
        exchange = null;
        requestId = null;
        // During a shutdown, or to make room, the connection closes with the last response that it is owed.
        boolean moreRequests = overflowCount > 0 || pipelined != null && !pipelined.isEmpty();
        boolean keepAlive = !close && !inputFailed && (moreRequests || !front.isServingEnded() && !closesToMakeRoom)
                && HttpUtil.isKeepAlive(currentRequest);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        connections.moveTo(ledger.now(), entry, ConnectionPhase.UNREAD);
        release(currentHeldBytes);
        currentHeldBytes = 0;
        int bytes = response.content().readableBytes();
        ChannelFuture flushed = channel.writeAndFlush(response);
        if (!flushed.isDone()) {
            holdUnread(bytes);
        }
        flushed.addListener((ChannelFutureListener) written -> {
            releaseUnreadMemory();
            currentRequest = null;
            if (keepAlive && written.isSuccess()) {
                startNext(pollNext());
            } else {
                closeAfterResponse();
            }
        });
    }

    /** Accounts for a response that the client's system has not taken at once. */
    private void holdUnread(int bytes) {
        if (unreadMemory.reserve(ledger.now(), bytes)) {
            unreadMemory.setReclaimable(ledger.now(), true);
        } else {
            giveUpResponse();
        }
    }

    private void releaseUnreadMemory() {
        unreadMemory.release(ledger.now(), unreadMemory.heldBytes());
    }

    /** Closes the connection, whose client doesn't read its response, since the memory is needed for others. */
    private void giveUpResponse() {
        front.memoryUsedUp(front.responseMemory);
        releaseUnreadMemory();
        close();
    }

    /**
     * Closes the connection after its last response. Unread input would turn the close into a reset, which may
     * discard the response, so it is read and dropped first.
     */
    private void closeAfterResponse() {
        lastResponseWritten = true;
        if (pipelined != null) {
            releasePipelined();
        }
        loop.execute(() -> {
            UnreadInput.read(channel);
            close();
        });
    }

    /**
     * An I/O error closes the connection. After any other fault, of the codec or of this program, a request that is
     * being answered still gets its response.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean clientFault = cause instanceof IOException || cause instanceof CodecException;
        if (!clientFault) {
            front.log.accept("fault on a client connection: " + cause);
        }
        if (cause instanceof IOException || currentRequest == null || lastResponseWritten) {
            context.close();
        } else if (exchange != null) {
            inputFailed = true;
            updateReading();
        } else {
            writeEmptyResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, true);
        }
    }
}
