/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * Parses addresses of the form {@code 127.0.0.1:8080} or {@code [::1]:8080}; host names are
 * rejected.
 */
public final class NetAddress
{
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+]");
    private static final int MAX_PORT = 65_535;

    private NetAddress()
    {
    }

    /**
     * @param text an IP address and port
     * @return the address
     * @throws GaugehollowException with {@link ResultCode#RESOURCE_INVALID} if the text is not a valid
     *             address
     */
    public static InetSocketAddress parse(String text)
    {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0)
        {
            throw invalid(text);
        }
        String host = text.substring(0, colon);
        if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches())
        {
            throw invalid(text);
        }
        try
        {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT)
            {
                throw invalid(text);
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        }
        catch (NumberFormatException | UnknownHostException e)
        {
            throw invalid(text);
        }
    }

    /**
     * @param address an address
     * @return the text form accepted by {@link #parse}
     */
    public static String format(InetSocketAddress address)
    {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? '[' + host + ']' : host) + ':' + address.getPort();
    }

    private static GaugehollowException invalid(String text)
    {
        return new GaugehollowException(ResultCode.RESOURCE_INVALID,
                "expected an IP address and a port such as 127.0.0.1:8080, found \"" + text + '"');
    }
}
