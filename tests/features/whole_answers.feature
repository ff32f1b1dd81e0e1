Feature: Every caller receives its whole answer

  The stand-in engine derives every token of an answer from the prompt, so the
  scenarios can check answers token by token.

  Background:
    Given a fleet whose engines are behind proxies

  Scenario Outline: The engine dies <moment>
    The engine is killed during an answer. Another engine must generate the
    rest. No token may be missing, duplicated or taken from another answer.
    When the engine is killed <moment> of a <form> answer
    Then the caller receives the whole answer
    And the rest came from another engine

    Examples:
      | moment                                  | form     |
      | before the first token                  | streamed |
      | mid-stream                              | streamed |
      | after the last token, before the end    | streamed |
      | before the first token                  | whole    |
      | mid-stream                              | whole    |

  Scenario Outline: Pieces arrive <how>
    The engine sends an answer in pieces. They may reach the entry twice, out of
    order or late, or its stream may break between them.
    When an engine sends its pieces <how>
    Then the caller receives the whole answer

    Examples:
      | how                  |
      | doubled              |
      | reordered            |
      | doubled and reordered |
      | delayed              |
      | with cuts            |

  Scenario: The link to the engine freezes and recovers
    The link to the engine stops carrying data but stays open. The entry must
    detect this by timeout and resume the same stream where it stopped, instead
    of sending the prompt again.
    When the link to the engine freezes mid-stream and recovers
    Then the caller receives the whole answer
    And the engines received the prompt only once

  Scenario: The entry dies mid-stream
    The caller's connection breaks, and the caller resumes at another entry with
    the id of the last event. It must receive exactly the rest.
    When the entry is killed mid-stream and the caller resumes at another entry
    Then the caller receives the whole answer
    And the engines received the prompt only once

  Scenario: The entry dies and the engine with it
    Only the caller still has the beginning of the answer. The rest of a
    different answer must not be appended to it.
    When the entry and the engine are killed and the caller resumes at another entry
    Then the caller is told that the stream is lost

  Scenario: Two hundred callers at once
    Many callers stream at once while pieces are doubled and reordered and links
    break. Each caller must receive its own answer.
    When 200 callers stream at once over faulty links
    Then each receives the whole answer to its own prompt
