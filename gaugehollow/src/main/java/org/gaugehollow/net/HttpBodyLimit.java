/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Aggregates requests and rejects bodies over the size limit with
 * {@link ResultCode#BODY_TOO_LARGE}.
 */
final class HttpBodyLimit extends HttpObjectAggregator
{
    private static final long LINGER_MILLIS = 1_000;

    private final int maxBodyBytes;

    HttpBodyLimit(int maxBodyBytes)
    {
        super(maxBodyBytes, true);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized)
    {
        ResultCode code = ResultCode.BODY_TOO_LARGE;
        byte[] body = Json.write(new HttpReply.ErrorBody(code.number(), code.name(), code.outcome().label(),
                "the request body exceeds " + maxBodyBytes + " bytes", null));
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(code.httpStatus()), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(sent -> closeLater(ctx));
    }

    /**
     * Closes the connection after a delay in which the remaining body is read and discarded. Closing
     * with unread bytes would reset the connection before the client receives the response.
     */
    private static void closeLater(ChannelHandlerContext ctx)
    {
        ScheduledFuture<?> closing = ctx.executor().schedule(() -> close(ctx), LINGER_MILLIS,
                TimeUnit.MILLISECONDS);
        ctx.channel().closeFuture().addListener(closed -> closing.cancel(false));
    }

    private static void close(ChannelHandlerContext ctx)
    {
        ctx.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
}
