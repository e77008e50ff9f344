/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.Queue;

import org.gaugehollow.time.SteadyClock;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/** Queues the parts of responses for the thread that waits for them. */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject>
{
    private final Queue<ResponsePart> parts;
    private volatile long lastReceivedNanos = SteadyClock.nanos();

    ResponseHandler(Queue<ResponsePart> parts)
    {
        this.parts = parts;
    }

    /** Returns when the connection was opened or last received data, on {@link SteadyClock#nanos}. */
    long lastReceivedNanos()
    {
        return lastReceivedNanos;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx)
    {
        lastReceivedNanos = SteadyClock.nanos();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message)
    {
        lastReceivedNanos = SteadyClock.nanos();
        if (message instanceof HttpResponse response)
        {
            parts.add(new ResponsePart.Head(response));
        }
        if (message instanceof HttpContent content)
        {
            boolean last = content instanceof LastHttpContent;
            if (content.decoderResult().isFailure())
            {
                parts.add(new ResponsePart.ConnectionLost("the response body is not valid HTTP"));
            }
            else
            {
                parts.add(new ResponsePart.Chunk(ByteBufUtil.getBytes(content.content()), last));
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx)
    {
        parts.add(new ResponsePart.ConnectionLost("closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
    {
        parts.add(new ResponsePart.ConnectionLost(String.valueOf(cause.getMessage())));
        ctx.close()
                .addListener(closed -> parts.add(new ResponsePart.ConnectionLost("closed after an error")));
    }
}
