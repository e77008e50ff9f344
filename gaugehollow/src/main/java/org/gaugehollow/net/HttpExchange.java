/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** A request on a server connection, and the means to respond to it. */
public final class HttpExchange
{
    private final Channel channel;
    private final HttpRequest request;
    private final boolean keepAlive;
    private boolean responseStarted;

    HttpExchange(Channel channel, HttpRequest request, boolean keepAlive)
    {
        this.channel = channel;
        this.request = request;
        this.keepAlive = keepAlive;
    }

    /** @return the request */
    public HttpRequest request()
    {
        return request;
    }

    /** @return whether the client is still connected */
    public boolean isOpen()
    {
        return channel.isActive();
    }

    /** @return whether a response or stream was started */
    public boolean isResponseStarted()
    {
        return responseStarted;
    }

    /**
     * Sends a reply and waits until it is written or the connection is closed: by the client, or
     * because the client takes no data.
     *
     * @param reply the reply
     * @throws InterruptedException if the thread is interrupted
     */
    public void respond(HttpReply reply) throws InterruptedException
    {
        respond(reply, !keepAlive);
    }

    /**
     * Sends a reply and waits until it is written or the connection is closed: by the client, or
     * because the client takes no data.
     *
     * @param reply the reply
     * @param close whether to close the connection afterwards
     * @throws InterruptedException if the thread is interrupted
     */
    public void respond(HttpReply reply, boolean close) throws InterruptedException
    {
        responseStarted = true;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(reply.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (close)
        {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response).await();
        if (close)
        {
            channel.close().await();
        }
    }

    /**
     * Starts a streamed response of newline-delimited JSON.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void startLines() throws InterruptedException
    {
        responseStarted = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response).await();
    }

    /**
     * Sends one line of a streamed response and waits until it is written.
     *
     * @param json the line without its terminator
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException if the connection is closed: by the client, or because the client
     *             takes no data
     */
    public void writeLine(byte[] json) throws InterruptedException
    {
        DefaultHttpContent line = new DefaultHttpContent(
                Unpooled.wrappedBuffer(json, "\n".getBytes(StandardCharsets.US_ASCII)));
        if (!channel.writeAndFlush(line).await().isSuccess())
        {
            throw new GaugehollowException(ResultCode.PEER_LOST, "the client has disconnected");
        }
    }

    /**
     * Ends a streamed response.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void endLines() throws InterruptedException
    {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).await();
        if (!keepAlive)
        {
            channel.close().await();
        }
    }

    /**
     * Closes the connection without a response.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void abort() throws InterruptedException
    {
        responseStarted = true;
        channel.close().await();
    }

    /**
     * Sends a reply with a truncated body and closes the connection. Used to simulate failing servers.
     *
     * @param reply the reply
     * @throws InterruptedException if the thread is interrupted
     */
    public void respondTruncated(HttpReply reply) throws InterruptedException
    {
        responseStarted = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()));
        response.headers().set(reply.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        channel.writeAndFlush(response).await();
        int half = reply.body().length / 2;
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(reply.body(), 0, half))).await();
        channel.close().await();
    }
}
