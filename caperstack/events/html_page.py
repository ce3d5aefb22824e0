"""Render the time line as a self-contained HTML page."""

import html

__all__ = ["html_page"]

# Dimensions of the diagram, in pixels.
LANE_HEIGHT = 46
TOP_MARGIN = 40
LEFT_MARGIN = 150
AXIS_WIDTH = 1500
DOT_RADIUS = 4

_COLOURS = {"state": "#8a5a00", "entry": "#1f5fa8", "owner": "#2c7a3f", "peer": "#a33"}
_OTHER_COLOUR = "#555"

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>caperstack time line</title><style>
body {{ font: 14px sans-serif; margin: 1em; color: #222; }}
table {{ border-collapse: collapse; }} td {{ padding: 1px 8px; white-space: nowrap; }}
tr:hover, circle:hover {{ background: #eef; stroke: #000; }}
text {{ font: 12px sans-serif; }}
</style></head><body><h1>Time line</h1><p>{count} events of {hosts} hosts over {span:.3f} s.
Blue: entry, green: owner, brown: changes of state. Point at a dot for its text.</p>
{svg}<table>{rows}</table></body></html>
"""


def html_page(events):
    """Return an HTML page with a diagram (a lane per host, a dot per event) and a table.

    Parameters
    ----------
    events : list of dict
        Events in causal order, as `caperstack.events.timeline.merge_events` returns them.
    """
    hosts = sorted({event["host"] for event in events})
    start = events[0]["clock"] if events else 0
    span = max(1, events[-1]["clock"] - start) if events else 1
    return _PAGE.format(
        count=len(events),
        hosts=len(hosts),
        span=span / 1e6,
        svg=_svg(events, hosts, start, span),
        rows="".join(_row(event, start) for event in events),
    )


def _svg(events, hosts, start, span):
    height = TOP_MARGIN + LANE_HEIGHT * len(hosts)
    parts = [f'<svg width="{LEFT_MARGIN + AXIS_WIDTH + 40}" height="{height}" role="img">']
    lanes = {host: TOP_MARGIN + LANE_HEIGHT * number for number, host in enumerate(hosts)}
    for host, y in lanes.items():
        parts.append(f'<text x="4" y="{y + 4}">{html.escape(host)}</text>')
        parts.append(
            f'<line x1="{LEFT_MARGIN}" x2="{LEFT_MARGIN + AXIS_WIDTH}" '
            f'y1="{y}" y2="{y}" stroke="#ccc"/>'
        )
    for tick in range(11):
        x = LEFT_MARGIN + AXIS_WIDTH * tick / 10
        seconds = span * tick / 10 / 1e6
        parts.append(f'<text x="{x:.0f}" y="16" text-anchor="middle">{seconds:.3f} s</text>')
    parts.extend(_connecting_lines(events, lanes, start, span))
    parts.extend(_dot(event, lanes, start, span) for event in events)
    parts.append("</svg>")
    return "".join(parts)


def _x_position(event, start, span):
    return LEFT_MARGIN + AXIS_WIDTH * (event["clock"] - start) / span


def _connecting_lines(events, lanes, start, span):
    """Yield a line for each pair of consecutive events of a request on different hosts."""
    last = {}
    for event in events:
        name = event["request_id"]
        before = last.get(name)
        if name and before is not None and before["host"] != event["host"]:
            yield (
                f'<line x1="{_x_position(before, start, span):.1f}" y1="{lanes[before["host"]]}" '
                f'x2="{_x_position(event, start, span):.1f}" y2="{lanes[event["host"]]}" '
                f'stroke="#bbd"/>'
            )
        last[name] = event


def _dot(event, lanes, start, span):
    colour = _COLOURS.get(event["kind"], _OTHER_COLOUR)
    title = html.escape(f"{event['host']} {event['kind']} {event['request_id']} {event['text']}")
    return (
        f'<circle cx="{_x_position(event, start, span):.1f}" cy="{lanes[event["host"]]}" '
        f'r="{DOT_RADIUS}" fill="{colour}"><title>{title}</title></circle>'
    )


def _row(event, start):
    cells = (
        f"{(event['clock'] - start) / 1e6:.4f}",
        event["host"],
        event["kind"],
        event["service"],
        event["request_id"],
        event["text"],
    )
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"
