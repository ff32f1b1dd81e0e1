Feature: Every caller gets its whole answer

  The stand-in engine's answers spell their own prompt, so that each token can
  be checked to the letter.

  Background:
    Given a fleet whose engines are behind proxies

  Scenario Outline: The engine dies <moment>
    A caller reads an answer and the engine's host dies. Another engine must
    make the rest, and no token may be missing, doubled or of another answer.
    When the engine is killed <moment> of a <form> answer
    Then the caller has the whole answer
    And the rest came from another engine

    Examples:
      | moment                                  | form     |
      | before the first token                  | streamed |
      | mid-stream                              | streamed |
      | after the last token, before the end    | streamed |
      | before the first token                  | whole    |
      | mid-stream                              | whole    |

  Scenario Outline: Pieces come <how>
    A caller reads an answer whose pieces overtake each other on the way.
    When an engine sends its pieces <how>
    Then the caller has the whole answer

    Examples:
      | how                  |
      | doubled              |
      | reordered            |
      | doubled and reordered |
      | delayed              |
      | with cuts            |

  Scenario: The link to the engine freezes and wakes
    A caller's answer stops; the link is frozen, not closed. The entry must
    notice the silence and read on where it stopped, not begin anew.
    When the link to the engine freezes mid-stream and wakes
    Then the caller has the whole answer
    And the engine made it once

  Scenario: The entry dies mid-stream
    A caller's connection breaks, and it goes on at another entry with the
    last event's id. It must get just the rest.
    When the entry is killed mid-stream and the caller goes on elsewhere
    Then the caller has the whole answer
    And the engine made it once

  Scenario: The entry dies and the engine with it
    Nobody has the beginning of the answer any more but the caller. The rest
    of another answer must not be put after it.
    When the entry and the engine are killed mid-stream and the caller goes on elsewhere
    Then the caller is told that the stream is lost

  Scenario: Two hundred callers at once
    Many callers read at once while pieces are doubled, overtake each other
    and links break. Each must get its own answer.
    When 200 callers stream at once over links that misbehave
    Then each has the whole answer to its own prompt
