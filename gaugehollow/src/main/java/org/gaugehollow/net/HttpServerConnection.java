/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A server connection: the event loop queues requests and a virtual thread handles them in order.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest>
{
    /** A queued request; the message is null if the request could not be decoded. */
    private record QueuedRequest(HttpRequest message, boolean keepAlive, String error)
    {
        static final QueuedRequest END = new QueuedRequest(null, false, null);
    }

    private final HttpHandler handler;
    private final EventLog events;
    private final AtomicInteger inFlight;
    private final AtomicBoolean closing;
    private final long idleMillis;
    private final BlockingQueue<QueuedRequest> queue = new LinkedBlockingQueue<>();

    HttpServerConnection(HttpHandler handler, EventLog events, AtomicInteger inFlight, AtomicBoolean closing,
            long idleMillis)
    {
        this.handler = handler;
        this.events = events;
        this.inFlight = inFlight;
        this.closing = closing;
        this.idleMillis = idleMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx)
    {
        Thread.ofVirtual().name("http-" + ctx.channel().id().asShortText()).start(() -> serve(ctx.channel()));
        ctx.read();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request)
    {
        if (request.decoderResult().isFailure())
        {
            queue.add(new QueuedRequest(null, false,
                    String.valueOf(request.decoderResult().cause().getMessage())));
            return;
        }
        String uri = request.uri();
        int queryStart = uri.indexOf('?');
        HttpRequest message = new HttpRequest(request.method().name(),
                queryStart < 0 ? uri : uri.substring(0, queryStart),
                queryStart < 0 ? "" : uri.substring(queryStart + 1), request.headers(),
                ByteBufUtil.getBytes(request.content()));
        queue.add(new QueuedRequest(message, HttpUtil.isKeepAlive(request), null));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx)
    {
        if (queue.isEmpty())
        {
            ctx.read();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx)
    {
        queue.add(QueuedRequest.END);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
    {
        ctx.close().addListener(closed -> queue.add(QueuedRequest.END));
    }

    private void serve(Channel channel)
    {
        try
        {
            while (channel.isActive())
            {
                QueuedRequest received = queue.poll(idleMillis, TimeUnit.MILLISECONDS);
                if (received == null || received == QueuedRequest.END)
                {
                    break;
                }
                handle(channel, received);
                channel.read();
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        finally
        {
            channel.close().addListener(closed -> queue.clear());
        }
    }

    private void handle(Channel channel, QueuedRequest received) throws InterruptedException
    {
        boolean keepAlive = received.keepAlive && !closing.get();
        HttpExchange exchange = new HttpExchange(channel, received.message, keepAlive);
        if (received.message == null)
        {
            events.record(EventType.CALLER_BAD_REQUEST, String.valueOf(channel.remoteAddress()),
                    received.error);
            exchange.respond(HttpReply.error(ResultCode.BAD_REQUEST, "not a valid HTTP request"), true);
            return;
        }
        inFlight.incrementAndGet();
        try
        {
            handler.handle(exchange);
        }
        catch (GaugehollowException e)
        {
            respondIfNotStarted(exchange, HttpReply.error(e));
        }
        catch (RuntimeException e)
        {
            events.record(EventType.INTERNAL_FAULT, received.message.path(), String.valueOf(e));
            respondIfNotStarted(exchange, HttpReply.error(ResultCode.INTERNAL, "internal error"));
        }
        finally
        {
            inFlight.decrementAndGet();
        }
    }

    private static void respondIfNotStarted(HttpExchange exchange, HttpReply reply)
            throws InterruptedException
    {
        if (!exchange.isResponseStarted())
        {
            exchange.respond(reply);
        }
    }
}
